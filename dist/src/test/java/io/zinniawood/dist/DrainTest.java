package io.zinniawood.dist;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.zinniawood.standin.engine.EngineFaults;
import io.zinniawood.standin.engine.ReferenceModel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

/** Tests that a graceful shutdown of entries and agents under load interrupts no request. */
final class DrainTest {
  private static final int ANSWER_TOKENS = 20;
  private static final int CALLER_THREADS = 4;

  private final Caller caller = new Caller();
  private final List<ProcessCluster.Entry> entriesInService = new CopyOnWriteArrayList<>();
  private final AtomicBoolean stopRequested = new AtomicBoolean();
  private final AtomicInteger correctAnswers = new AtomicInteger();
  private final List<String> failures = new CopyOnWriteArrayList<>();
  private final List<Thread> callerThreads = new ArrayList<>();
  private ProcessCluster cluster;

  @BeforeEach
  void startCluster(TestInfo test) {
    cluster = new ProcessCluster(test.getTestMethod().get().getName());
    cluster.addEngine("a-1", 0, 4);
    cluster.addEngine("a-2", 0, 4);
    cluster.addEngine("b-1", 4, 8);
    cluster.addEngine("b-2", 4, 8);
    for (String engine : List.of("a-1", "a-2", "b-1", "b-2")) {
      cluster.endpoint(engine).engine().setFaults(EngineFaults.slow(1, 5));
    }
    addEntry("entry-1");
    addEntry("entry-2");
  }

  private void addEntry(String id) {
    cluster.addEntry(id);
    ProcessCluster.Entry entry = cluster.entry(id);
    caller.awaitChatReady(entry);
    entriesInService.add(entry);
  }

  @AfterEach
  void closeCluster() {
    stopRequested.set(true);
    cluster.close();
  }

  /**
   * Starts threads that send requests one after another, spread over the entries that a load
   * balancer would have in service.
   */
  private void startLoad() {
    for (int i = 0; i < CALLER_THREADS; i++) {
      String content = "load " + i;
      int firstEntryIndex = i;
      Thread thread = new Thread(() -> sendUntilStopped(firstEntryIndex, content));
      thread.start();
      callerThreads.add(thread);
    }
  }

  private void sendUntilStopped(int firstEntryIndex, String content) {
    String expected =
        new ReferenceModel(ProcessCluster.MODEL)
            .answer(Caller.enginePrompt(content), ANSWER_TOKENS)
            .text();
    int entryIndex = firstEntryIndex;
    try {
      while (!stopRequested.get()) {
        ProcessCluster.Entry entry =
            entriesInService.get(Math.floorMod(entryIndex, entriesInService.size()));
        entryIndex++;
        Caller.ChatStream stream = caller.streamChat(entry, content, ANSWER_TOKENS);
        String outcome = stream.awaitOutcome();
        if (outcome.equals("length") && stream.text().equals(expected)) {
          correctAnswers.incrementAndGet();
        } else {
          failures.add(outcome + ": " + stream.text());
        }
      }
    } catch (Exception failure) {
      failures.add(failure.toString());
    }
  }

  private void stopLoad() throws InterruptedException {
    stopRequested.set(true);
    for (Thread thread : callerThreads) {
      thread.join();
    }
  }

  private void awaitMoreAnswers(int more) {
    int before = correctAnswers.get();
    Caller.await(() -> correctAnswers.get() >= before + more || !failures.isEmpty());
  }

  /**
   * Drains an entry: sends SIGTERM, stops sending requests to it as soon as its readiness probe
   * fails, and expects exit code 0.
   */
  private void drainEntry(String id) {
    ProcessCluster.Entry entry = cluster.entry(id);
    entry.process().signal("TERM");
    Caller.await(() -> caller.get(entry.adminUri(), "/readyz").status() != 200);
    entriesInService.remove(entry);
    assertThat(entry.process().awaitExitCode(), is(0));
  }

  // Guards against requests that an entry interrupts or refuses during its shutdown.
  @Test
  void rollingReplacementOfEntriesFailsNoRequest() throws Exception {
    startLoad();
    awaitMoreAnswers(8);
    addEntry("entry-3");
    drainEntry("entry-1");
    awaitMoreAnswers(8);
    addEntry("entry-4");
    drainEntry("entry-2");
    awaitMoreAnswers(8);
    stopLoad();
    assertThat(failures, equalTo(List.of()));
  }

  // Guards against answers that the shutdown of an agent interrupts, and against steps that its
  // engine still receives afterwards.
  @Test
  void rollingShutdownOfAgentsFailsNoRequest() throws Exception {
    startLoad();
    awaitMoreAnswers(8);
    for (String id : List.of("a-1", "b-2")) {
      RoleProcess agent = cluster.endpoint(id).agent();
      agent.signal("TERM");
      assertThat(agent.awaitExitCode(), is(0));
      long steps = cluster.endpoint(id).engine().executedSteps();
      awaitMoreAnswers(8);
      assertThat(cluster.endpoint(id).engine().executedSteps(), is(steps));
      assertThat(steps, greaterThan(0L));
    }
    stopLoad();
    assertThat(failures, equalTo(List.of()));
    for (String id : List.of("a-1", "a-2", "b-1", "b-2")) {
      assertThat(cluster.endpoint(id).engine().repeatedExecutions(), is(0));
    }
  }
}
