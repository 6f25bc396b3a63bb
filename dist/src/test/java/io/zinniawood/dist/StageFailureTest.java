package io.zinniawood.dist;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import io.zinniawood.standin.engine.EngineFaults;
import io.zinniawood.standin.engine.ReferenceModel;
import io.zinniawood.standin.proxy.FaultProxy;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

/** Answers survive the loss of stages and connections, complete and with each layer run once. */
final class StageFailureTest {
  private static final int TOKENS = 80;
  private static final List<String> ENGINES = List.of("a-1", "a-2", "b-1", "b-2");

  private final Caller caller = new Caller();
  private RealCluster cluster;
  private RealCluster.Entry entry;

  @BeforeEach
  void startCluster(TestInfo test) {
    cluster = new RealCluster(test.getTestMethod().get().getName());
    cluster.addEngine("a-1", 0, 4);
    cluster.addEngine("a-2", 0, 4);
    cluster.addEngine("b-1", 4, 8);
    cluster.addEngine("b-2", 4, 8);
    cluster.addEntry("entry-1");
    entry = cluster.entry("entry-1");
    caller.awaitModel(entry);
    // Two stages of 15 ms make an answer of 80 tokens last 2.4 s, enough to fail in its middle.
    for (String engine : ENGINES) {
      cluster.endpoint(engine).engine().setFaults(EngineFaults.slow(1, 15));
    }
  }

  @AfterEach
  void closeCluster() {
    cluster.close();
  }

  /** The engine of a layer range that runs the open session, and the one that can replace it. */
  private final class Failover {
    private final String failing;
    private final String replacement;
    private final long stepsBefore;

    Failover(String first, String second) {
      Caller.await(() -> sessions(first) + sessions(second) > 0);
      failing = sessions(first) > 0 ? first : second;
      replacement = sessions(first) > 0 ? second : first;
      stepsBefore = cluster.endpoint(replacement).engine().executedSteps();
    }

    /** Checks that the fault came before the end of the answer. */
    void assertReplaced() {
      assertThat(cluster.endpoint(replacement).engine().executedSteps(), greaterThan(stepsBefore));
    }
  }

  private int sessions(String engine) {
    return cluster.endpoint(engine).engine().sessions();
  }

  private void assertWhole(Caller.Stream stream, String content) throws Exception {
    assertThat(stream.awaitEnd(), is("length"));
    ReferenceModel.Answer expected =
        new ReferenceModel(RealCluster.MODEL).answer(Caller.prompt(content), TOKENS);
    assertThat(stream.text(), equalTo(expected.text()));
    for (String engine : ENGINES) {
      assertThat(
          "repeated executions of " + engine,
          cluster.endpoint(engine).engine().repeatedExecutions(),
          is(0));
    }
  }

  private Caller.Stream startAnswer(String content) {
    Caller.Stream stream = caller.chat(entry, content, TOKENS);
    stream.awaitTokens(10);
    assertThat(stream.tokens.size(), greaterThanOrEqualTo(10));
    return stream;
  }

  // Guards against an answer that differs from the model's when nothing fails.
  @Test
  void answerEqualsTheReferenceModel() throws Exception {
    assertWhole(caller.chat(entry, "no fault", TOKENS), "no fault");
  }

  // Guards against an answer that ends, repeats or loses tokens when its last stage is killed.
  @Test
  void answerGoesOnWhenTheLastStageIsKilled() throws Exception {
    Caller.Stream stream = startAnswer("kill last");
    Failover failover = new Failover("b-1", "b-2");
    cluster.endpoint(failover.failing).agent().kill();
    assertWhole(stream, "kill last");
    failover.assertReplaced();
  }

  // Guards against an answer that is lost when the stage that takes the entry's input is killed.
  @Test
  void answerGoesOnWhenTheFirstStageIsKilled() throws Exception {
    Caller.Stream stream = startAnswer("kill first");
    Failover failover = new Failover("a-1", "a-2");
    cluster.endpoint(failover.failing).agent().kill();
    assertWhole(stream, "kill first");
    failover.assertReplaced();
  }

  // Guards against an answer that hangs when a stage is paused and its connections stay open.
  @Test
  void answerGoesOnWhenStagePauses() throws Exception {
    Caller.Stream stream = startAnswer("pause");
    Failover failover = new Failover("b-1", "b-2");
    RoleProcess paused = cluster.endpoint(failover.failing).agent();
    paused.signal("STOP");
    try {
      assertWhole(stream, "pause");
      failover.assertReplaced();
    } finally {
      paused.signal("CONT");
    }
  }

  // Guards against an answer that hangs when the entry's connection goes silent for good.
  @Test
  void answerGoesOnWhenConnectionGoesSilent() throws Exception {
    Caller.Stream stream = startAnswer("silence");
    FaultProxy proxy = cluster.endpoint(new Failover("b-1", "b-2").failing).proxy();
    long connectionsBefore = proxy.acceptedConnections();
    proxy.stopForwardingInBothDirections();
    assertWhole(stream, "silence");
    assertThat(proxy.acceptedConnections(), greaterThan(connectionsBefore));
  }

  // Guards against a graceful shutdown of a stage that cuts off an answer in progress.
  @Test
  void answerGoesOnWhenStageLeaves() throws Exception {
    Caller.Stream stream = startAnswer("leave");
    RoleProcess leaving = cluster.endpoint(new Failover("b-1", "b-2").failing).agent();
    leaving.signal("TERM");
    assertWhole(stream, "leave");
    assertThat(leaving.exitCode(), is(0));
  }
}
