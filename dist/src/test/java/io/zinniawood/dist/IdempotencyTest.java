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

/** Credits are booked at most once over repeats, crashes and outages, and outcomes are true. */
final class IdempotencyTest {
  private static final List<String> SERVICES = List.of("c-1", "c-2");

  private final Caller caller = new Caller();
  private RealCluster cluster;
  private RealCluster.Entry first;
  private RealCluster.Entry second;

  @BeforeEach
  void startCluster(TestInfo test) {
    cluster = new RealCluster(test.getTestMethod().get().getName());
    SERVICES.forEach(cluster::addService);
    cluster.addEntry("entry-1");
    cluster.addEntry("entry-2");
    first = cluster.entry("entry-1");
    second = cluster.entry("entry-2");
    caller.awaitService(first);
    caller.awaitService(second);
  }

  @AfterEach
  void closeCluster() {
    cluster.close();
  }

  private int bookings(String reference) {
    return SERVICES.stream()
        .mapToInt(id -> cluster.endpoint(id).service().bookings(reference))
        .sum();
  }

  private void setServiceFaults(ServiceFaults faults) {
    SERVICES.forEach(id -> cluster.endpoint(id).service().setFaults(faults));
  }

  private String owner(String reference) {
    Caller.await(() -> bookings(reference) > 0);
    return SERVICES.stream()
        .filter(id -> cluster.endpoint(id).service().bookings(reference) > 0)
        .findFirst()
        .get();
  }

  // Guards against a double booking when a caller repeats a key through two entries at once.
  @Test
  void concurrentRepeatsThroughTwoEntriesBookOnce() throws Exception {
    setServiceFaults(ServiceFaults.delay(300));
    List<CompletableFuture<Answer>> repeats =
        Stream.of(first, second, first, second)
            .map(entry -> caller.creditLater(entry, "jar-1", 500))
            .toList();
    for (CompletableFuture<Answer> repeat : repeats) {
      Answer answer = repeat.get(60, TimeUnit.SECONDS);
      assertThat(answer.toString(), answer.status(), is(201));
      assertThat(answer.body(), equalTo(repeats.get(0).get().body()));
    }
    assertThat(bookings("jar-1"), is(1));
  }

  // Guards against one key that is accepted for two different credits.
  @Test
  void keyWithAnotherBodyIsRefused() {
    assertThat(caller.credit(first, "jar-2", 500).status(), is(201));
    Answer reused = caller.credit(second, "jar-2", 900);
    assertThat(reused.toString(), reused.status(), is(422));
    assertThat(bookings("jar-2"), is(1));
  }

  // Guards against a second booking when the entry dies after the call started.
  @Test
  void repeatAfterEntryCrashGivesTheSameBooking() {
    setServiceFaults(ServiceFaults.delay(1_000));
    CompletableFuture<Answer> broken = caller.creditLater(first, "jar-3", 500);
    owner("jar-3");
    first.process().kill();
    assertThat(broken.join().status(), is(0));
    Answer repeated = caller.credit(second, "jar-3", 500);
    assertThat(repeated.toString(), repeated.status(), is(201));
    assertThat(bookings("jar-3"), is(1));
  }

  // Guards against a call that runs again, or is reported as not run, when its agent dies.
  @Test
  void agentCrashDuringCallIsUnknownAndNeverRunsAgain() {
    setServiceFaults(ServiceFaults.delay(20_000));
    CompletableFuture<Answer> pending = caller.creditLater(first, "jar-4", 500);
    cluster.endpoint(owner("jar-4")).agent().kill();
    assertThat(pending.join().toString(), pending.join().outcome(), is("unknown"));
    setServiceFaults(ServiceFaults.none());
    Answer repeated = caller.credit(second, "jar-4", 500);
    assertThat(repeated.toString(), repeated.outcome(), is("unknown"));
    assertThat(bookings("jar-4"), is(1));
  }

  // Guards against a booking without a claim while the table is down.
  @Test
  void storeOutageRefusesKeyedCallsTruthfully() {
    cluster.platform().setFaults(PlatformFaults.outage());
    Answer refused = caller.credit(first, "jar-5", 500);
    assertThat(refused.toString(), refused.status(), is(503));
    assertThat(refused.outcome(), is("not-run"));
    assertThat(bookings("jar-5"), is(0));
    cluster.platform().setFaults(PlatformFaults.none());
    Caller.await(() -> caller.credit(second, "jar-5", 500).status() == 201);
    assertThat(bookings("jar-5"), is(1));
  }

  // Guards against a claim that is taken for absent when the table's response is lost.
  @Test
  void lostResponseOfTheClaimIsResolvedByReading() {
    cluster.platform().setFaults(PlatformService.TABLE, PlatformFaults.lostResponses(1));
    Answer answer = caller.credit(first, "jar-6", 500);
    assertThat(answer.toString(), answer.status(), is(201));
    assertThat(bookings("jar-6"), is(1));
  }

  // Guards against a false not-run when the service booked and its connection was cut.
  @Test
  void cutAfterBookingIsUnknown() {
    setServiceFaults(ServiceFaults.lostResponses(1));
    Answer answer = caller.credit(first, "jar-7", 500);
    assertThat(answer.toString(), answer.outcome(), is("unknown"));
    setServiceFaults(ServiceFaults.none());
    caller.credit(second, "jar-7", 500);
    assertThat(bookings("jar-7"), lessThanOrEqualTo(1));
  }

  // Guards against a not-run that turns out to have run when a paused agent wakes up.
  @Test
  void pausedAgentDoesNotRunWhatWasReportedAsNotRun() {
    SERVICES.forEach(id -> cluster.endpoint(id).agent().signal("STOP"));
    Answer answer = caller.credit(first, "jar-8", 500);
    SERVICES.forEach(id -> cluster.endpoint(id).agent().signal("CONT"));
    caller.awaitService(first);
    if (answer.outcome().equals("not-run")) {
      assertThat(answer.toString(), bookings("jar-8"), is(0));
    } else {
      assertThat(answer.toString(), answer.outcome(), is("unknown"));
    }
    Answer repeated = caller.credit(second, "jar-8", 500);
    assertThat(bookings("jar-8"), is(repeated.status() == 201 ? 1 : bookings("jar-8")));
    assertThat(bookings("jar-8"), lessThanOrEqualTo(1));
  }
}
