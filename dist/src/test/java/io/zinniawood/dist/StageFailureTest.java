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

/**
 * Tests that answers stay complete, and that no engine repeats an execution, when stages or
 * connections fail.
 */
final class StageFailureTest {
  private static final int ANSWER_TOKENS = 80;
  private static final List<String> ENGINE_IDS = List.of("a-1", "a-2", "b-1", "b-2");

  private final Caller caller = new Caller();
  private ProcessCluster cluster;
  private ProcessCluster.Entry entry;

  @BeforeEach
  void startCluster(TestInfo test) {
    cluster = new ProcessCluster(test.getTestMethod().get().getName());
    cluster.addEngine("a-1", 0, 4);
    cluster.addEngine("a-2", 0, 4);
    cluster.addEngine("b-1", 4, 8);
    cluster.addEngine("b-2", 4, 8);
    cluster.addEntry("entry-1");
    entry = cluster.entry("entry-1");
    caller.awaitChatReady(entry);
    // With two stages of 15 ms an answer of 80 tokens takes 2.4 s, long enough to inject a fault
    // before its end.
    for (String engine : ENGINE_IDS) {
      cluster.endpoint(engine).engine().setFaults(EngineFaults.slow(1, 15));
    }
  }

  @AfterEach
  void closeCluster() {
    cluster.close();
  }

  /** The engine of a layer range that has the open session, and the one that can replace it. */
  private final class Failover {
    private final String failingEngine;
    private final String replacementEngine;
    private final long replacementStepsBefore;

    Failover(String first, String second) {
      Caller.await(() -> openSessions(first) + openSessions(second) > 0);
      failingEngine = openSessions(first) > 0 ? first : second;
      replacementEngine = openSessions(first) > 0 ? second : first;
      replacementStepsBefore = cluster.endpoint(replacementEngine).engine().executedSteps();
    }

    /** Checks that the replacement ran steps, so the fault came before the end of the answer. */
    void assertReplaced() {
      assertThat(
          cluster.endpoint(replacementEngine).engine().executedSteps(),
          greaterThan(replacementStepsBefore));
    }
  }

  private int openSessions(String engine) {
    return cluster.endpoint(engine).engine().sessions();
  }

  private void assertCompleteAnswer(Caller.ChatStream stream, String content) throws Exception {
    assertThat(stream.awaitOutcome(), is("length"));
    ReferenceModel.Answer expected =
        new ReferenceModel(ProcessCluster.MODEL)
            .answer(Caller.enginePrompt(content), ANSWER_TOKENS);
    assertThat(stream.text(), equalTo(expected.text()));
    for (String engine : ENGINE_IDS) {
      assertThat(
          "repeated executions of " + engine,
          cluster.endpoint(engine).engine().repeatedExecutions(),
          is(0));
    }
  }

  private Caller.ChatStream startAnswer(String content) {
    Caller.ChatStream stream = caller.streamChat(entry, content, ANSWER_TOKENS);
    stream.awaitTokens(10);
    assertThat(stream.tokens.size(), greaterThanOrEqualTo(10));
    return stream;
  }

  // Guards against an answer that differs from the reference model's without any fault.
  @Test
  void answerEqualsTheReferenceModel() throws Exception {
    assertCompleteAnswer(caller.streamChat(entry, "no fault", ANSWER_TOKENS), "no fault");
  }

  // Guards against an answer that ends early, or repeats or loses tokens, when its last stage
  // is killed.
  @Test
  void answerContinuesWhenTheLastStageIsKilled() throws Exception {
    Caller.ChatStream stream = startAnswer("kill last");
    Failover failover = new Failover("b-1", "b-2");
    cluster.endpoint(failover.failingEngine).agent().kill();
    assertCompleteAnswer(stream, "kill last");
    failover.assertReplaced();
  }

  // Guards against the loss of an answer when the stage that receives the entry's input is killed.
  @Test
  void answerContinuesWhenTheFirstStageIsKilled() throws Exception {
    Caller.ChatStream stream = startAnswer("kill first");
    Failover failover = new Failover("a-1", "a-2");
    cluster.endpoint(failover.failingEngine).agent().kill();
    assertCompleteAnswer(stream, "kill first");
    failover.assertReplaced();
  }

  // Guards against an answer that hangs when a stage process is suspended and its connections
  // stay open.
  @Test
  void answerContinuesWhenStageIsPaused() throws Exception {
    Caller.ChatStream stream = startAnswer("pause");
    Failover failover = new Failover("b-1", "b-2");
    RoleProcess paused = cluster.endpoint(failover.failingEngine).agent();
    paused.signal("STOP");
    try {
      assertCompleteAnswer(stream, "pause");
      failover.assertReplaced();
    } finally {
      paused.signal("CONT");
    }
  }

  // Guards against an answer that hangs when the entry's connection stays open but carries
  // no more data.
  @Test
  void answerContinuesWhenConnectionStopsCarryingData() throws Exception {
    Caller.ChatStream stream = startAnswer("silence");
    FaultProxy proxy = cluster.endpoint(new Failover("b-1", "b-2").failingEngine).proxy();
    long connectionsBefore = proxy.acceptedConnections();
    proxy.stopForwardingInBothDirections();
    assertCompleteAnswer(stream, "silence");
    assertThat(proxy.acceptedConnections(), greaterThan(connectionsBefore));
  }

  // Guards against an answer that the graceful shutdown of a stage interrupts.
  @Test
  void answerContinuesWhenStageShutsDown() throws Exception {
    Caller.ChatStream stream = startAnswer("leave");
    RoleProcess leaving = cluster.endpoint(new Failover("b-1", "b-2").failingEngine).agent();
    leaving.signal("TERM");
    assertCompleteAnswer(stream, "leave");
    assertThat(leaving.awaitExitCode(), is(0));
  }
}
