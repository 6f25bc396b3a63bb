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

/** Graceful shutdown of entries and agents under load cuts off no request in progress. */
final class DrainTest {
  private static final int TOKENS = 20;
  private static final int CALLERS = 4;

  private final Caller caller = new Caller();
  private final List<RealCluster.Entry> inService = new CopyOnWriteArrayList<>();
  private final AtomicBoolean stop = new AtomicBoolean();
  private final AtomicInteger answered = new AtomicInteger();
  private final List<String> wrong = new CopyOnWriteArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private RealCluster cluster;

  @BeforeEach
  void startCluster(TestInfo test) {
    cluster = new RealCluster(test.getTestMethod().get().getName());
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
    RealCluster.Entry entry = cluster.entry(id);
    caller.awaitModel(entry);
    inService.add(entry);
  }

  @AfterEach
  void closeCluster() {
    stop.set(true);
    cluster.close();
  }

  /**
   * Callers send one request after the other, each to an entry that the balancer has in service.
   */
  private void startLoad() {
    for (int i = 0; i < CALLERS; i++) {
      String content = "load " + i;
      int first = i;
      Thread thread = new Thread(() -> sendUntilStopped(first, content));
      thread.start();
      threads.add(thread);
    }
  }

  private void sendUntilStopped(int first, String content) {
    String expected =
        new ReferenceModel(RealCluster.MODEL).answer(Caller.prompt(content), TOKENS).text();
    int turn = first;
    try {
      while (!stop.get()) {
        RealCluster.Entry entry = inService.get(Math.floorMod(turn, inService.size()));
        turn++;
        Caller.Stream stream = caller.chat(entry, content, TOKENS);
        String end = stream.awaitEnd();
        if (end.equals("length") && stream.text().equals(expected)) {
          answered.incrementAndGet();
        } else {
          wrong.add(end + ": " + stream.text());
        }
      }
    } catch (Exception failure) {
      wrong.add(failure.toString());
    }
  }

  private void stopLoad() throws InterruptedException {
    stop.set(true);
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private void awaitMoreAnswers(int more) {
    int before = answered.get();
    Caller.await(() -> answered.get() >= before + more || !wrong.isEmpty());
  }

  /** Drains an entry as the balancer and the platform do. */
  private void drainEntry(String id) {
    RealCluster.Entry entry = cluster.entry(id);
    entry.process().signal("TERM");
    Caller.await(() -> caller.get(entry.admin(), "/readyz").status() != 200);
    inService.remove(entry);
    assertThat(entry.process().exitCode(), is(0));
  }

  // Guards against requests that a shutdown of an entry cuts off or refuses.
  @Test
  void entriesAreReplacedOneByOneUnderLoad() throws Exception {
    startLoad();
    awaitMoreAnswers(8);
    addEntry("entry-3");
    drainEntry("entry-1");
    awaitMoreAnswers(8);
    addEntry("entry-4");
    drainEntry("entry-2");
    awaitMoreAnswers(8);
    stopLoad();
    assertThat(wrong, equalTo(List.of()));
  }

  // Guards against answers that a leaving endpoint cuts off, and new work that it still gets.
  @Test
  void agentsLeaveOneByOneUnderLoad() throws Exception {
    startLoad();
    awaitMoreAnswers(8);
    for (String id : List.of("a-1", "b-2")) {
      RoleProcess agent = cluster.endpoint(id).agent();
      agent.signal("TERM");
      assertThat(agent.exitCode(), is(0));
      long steps = cluster.endpoint(id).engine().executedSteps();
      awaitMoreAnswers(8);
      assertThat(cluster.endpoint(id).engine().executedSteps(), is(steps));
      assertThat(steps, greaterThan(0L));
    }
    stopLoad();
    assertThat(wrong, equalTo(List.of()));
    for (String id : List.of("a-1", "a-2", "b-1", "b-2")) {
      assertThat(cluster.endpoint(id).engine().repeatedExecutions(), is(0));
    }
  }
}
