package io.zinniawood.dist;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.zinniawood.dist.Caller.Answer;
import io.zinniawood.standin.platform.PlatformFaults;
import io.zinniawood.standin.platform.PlatformService;
import io.zinniawood.standin.service.ServiceFaults;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

/**
 * Tests that a credit is booked at most once across repeated requests, crashes and outages, and
 * that the reported outcome matches what happened.
 */
final class IdempotencyTest {
  private static final List<String> SERVICE_IDS = List.of("c-1", "c-2");

  private final Caller caller = new Caller();
  private ProcessCluster cluster;
  private ProcessCluster.Entry firstEntry;
  private ProcessCluster.Entry secondEntry;

  @BeforeEach
  void startCluster(TestInfo test) {
    cluster = new ProcessCluster(test.getTestMethod().get().getName());
    SERVICE_IDS.forEach(cluster::addService);
    cluster.addEntry("entry-1");
    cluster.addEntry("entry-2");
    firstEntry = cluster.entry("entry-1");
    secondEntry = cluster.entry("entry-2");
    caller.awaitCreditServiceReady(firstEntry);
    caller.awaitCreditServiceReady(secondEntry);
  }

  @AfterEach
  void closeCluster() {
    cluster.close();
  }

  private int bookings(String reference) {
    return SERVICE_IDS.stream()
        .mapToInt(id -> cluster.endpoint(id).service().bookings(reference))
        .sum();
  }

  private void setServiceFaults(ServiceFaults faults) {
    SERVICE_IDS.forEach(id -> cluster.endpoint(id).service().setFaults(faults));
  }

  private String awaitBookingService(String reference) {
    Caller.await(() -> bookings(reference) > 0);
    return SERVICE_IDS.stream()
        .filter(id -> cluster.endpoint(id).service().bookings(reference) > 0)
        .findFirst()
        .get();
  }

  // Guards against a double booking when requests with the same key reach two entries concurrently.
  @Test
  void concurrentRepeatsThroughTwoEntriesBookOnce() throws Exception {
    setServiceFaults(ServiceFaults.delay(300));
    List<CompletableFuture<Answer>> repeats =
        Stream.of(firstEntry, secondEntry, firstEntry, secondEntry)
            .map(entry -> caller.creditAsync(entry, "jar-1", 500))
            .toList();
    for (CompletableFuture<Answer> repeat : repeats) {
      Answer answer = repeat.get(60, TimeUnit.SECONDS);
      assertThat(answer.toString(), answer.status(), is(201));
      assertThat(answer.body(), equalTo(repeats.get(0).get().body()));
    }
    assertThat(bookings("jar-1"), is(1));
  }

  // Guards against accepting the same key for two different credits.
  @Test
  void keyWithAnotherBodyIsRefused() {
    assertThat(caller.credit(firstEntry, "jar-2", 500).status(), is(201));
    Answer reused = caller.credit(secondEntry, "jar-2", 900);
    assertThat(reused.toString(), reused.status(), is(422));
    assertThat(bookings("jar-2"), is(1));
  }

  // Guards against a second booking when the entry is killed after the call started.
  @Test
  void repeatAfterEntryCrashGivesTheSameBooking() {
    setServiceFaults(ServiceFaults.delay(1_000));
    CompletableFuture<Answer> interrupted = caller.creditAsync(firstEntry, "jar-3", 500);
    awaitBookingService("jar-3");
    firstEntry.process().kill();
    assertThat(interrupted.join().status(), is(0));
    Answer repeated = caller.credit(secondEntry, "jar-3", 500);
    assertThat(repeated.toString(), repeated.status(), is(201));
    assertThat(bookings("jar-3"), is(1));
  }

  // Guards against a call that is repeated, or is reported as not run, after its agent was killed.
  @Test
  void callIsUnknownAndNotRepeatedAfterAgentCrash() {
    setServiceFaults(ServiceFaults.delay(20_000));
    CompletableFuture<Answer> pending = caller.creditAsync(firstEntry, "jar-4", 500);
    cluster.endpoint(awaitBookingService("jar-4")).agent().kill();
    assertThat(pending.join().toString(), pending.join().outcome(), is("unknown"));
    setServiceFaults(ServiceFaults.none());
    Answer repeated = caller.credit(secondEntry, "jar-4", 500);
    assertThat(repeated.toString(), repeated.outcome(), is("unknown"));
    assertThat(bookings("jar-4"), is(1));
  }

  // Guards against a booking without a claim on the key while the platform's table is unavailable.
  @Test
  void storeOutageRefusesKeyedCallsAsNotRun() {
    cluster.platform().setFaults(PlatformFaults.outage());
    Answer refused = caller.credit(firstEntry, "jar-5", 500);
    assertThat(refused.toString(), refused.status(), is(503));
    assertThat(refused.outcome(), is("not-run"));
    assertThat(bookings("jar-5"), is(0));
    cluster.platform().setFaults(PlatformFaults.none());
    Caller.await(() -> caller.credit(secondEntry, "jar-5", 500).status() == 201);
    assertThat(bookings("jar-5"), is(1));
  }

  // Guards against treating a claim as not written when only the table's response to it was lost.
  @Test
  void lostResponseOfTheClaimIsResolvedByReading() {
    cluster.platform().setFaults(PlatformService.TABLE, PlatformFaults.lostResponses(1));
    Answer answer = caller.credit(firstEntry, "jar-6", 500);
    assertThat(answer.toString(), answer.status(), is(201));
    assertThat(bookings("jar-6"), is(1));
  }

  // Guards against reporting not-run when the connection was cut after the service had booked.
  @Test
  void connectionCutAfterBookingIsUnknown() {
    setServiceFaults(ServiceFaults.lostResponses(1));
    Answer answer = caller.credit(firstEntry, "jar-7", 500);
    assertThat(answer.toString(), answer.outcome(), is("unknown"));
    setServiceFaults(ServiceFaults.none());
    caller.credit(secondEntry, "jar-7", 500);
    assertThat(bookings("jar-7"), lessThanOrEqualTo(1));
  }

  // Guards against a call that was reported as not run and that a paused agent runs
  // once it resumes.
  @Test
  void pausedAgentDoesNotRunWhatWasReportedAsNotRun() {
    SERVICE_IDS.forEach(id -> cluster.endpoint(id).agent().signal("STOP"));
    Answer answer = caller.credit(firstEntry, "jar-8", 500);
    SERVICE_IDS.forEach(id -> cluster.endpoint(id).agent().signal("CONT"));
    caller.awaitCreditServiceReady(firstEntry);
    if (answer.outcome().equals("not-run")) {
      assertThat(answer.toString(), bookings("jar-8"), is(0));
    } else {
      assertThat(answer.toString(), answer.outcome(), is("unknown"));
    }
    Answer repeated = caller.credit(secondEntry, "jar-8", 500);
    assertThat(bookings("jar-8"), is(repeated.status() == 201 ? 1 : bookings("jar-8")));
    assertThat(bookings("jar-8"), lessThanOrEqualTo(1));
  }
}
