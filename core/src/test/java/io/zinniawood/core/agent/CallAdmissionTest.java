package io.zinniawood.core.agent;

import static io.zinniawood.core.agent.AgentDriver.ANSWER;
import static io.zinniawood.core.agent.AgentDriver.cancel;
import static io.zinniawood.core.agent.AgentDriver.dispatch;
import static io.zinniawood.core.agent.AgentDriver.effectsOfType;
import static io.zinniawood.core.agent.AgentDriver.sentMessages;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServingState;
import org.junit.jupiter.api.Test;

class CallAdmissionTest {
  private static AgentEvent answered(String attempt) {
    return new AgentEvent.ServiceAnswered(new AttemptId(attempt), ANSWER);
  }

  private static Vector<String> called(Vector<AgentEffect> effects) {
    return effectsOfType(effects, AgentEffect.CallService.class)
        .map(call -> call.attempt().value());
  }

  private static RefusalReason refusal(Vector<AgentEffect> effects) {
    Message.DispatchRefused refused = sentMessages(effects, Message.DispatchRefused.class).single();
    assertThat(refused.outcome(), equalTo(Outcome.NOT_RUN));
    return refused.reason();
  }

  // Guards against starting a call that was dispatched to an earlier run of the agent.
  @Test
  void dispatchForAnotherIncarnationIsRefused() {
    AgentDriver agent = AgentDriver.serviceAgent(1);
    Message.Dispatch old =
        dispatch("a1", new Incarnation(6), "kiosk", Option.none(), 0, "", 10_000);
    assertThat(refusal(agent.receive(old)), equalTo(RefusalReason.WRONG_INCARNATION));
  }

  // Guards against an entry that dispatches calls before it knows what the agent serves.
  @Test
  void statusIsTheFirstMessageToAnEntry() {
    AgentDriver agent = AgentDriver.serviceAgent(3);
    PeerId other = new PeerId("entry-2", new Incarnation(1));
    Vector<AgentEffect> effects = agent.apply(new AgentEvent.PeerConnected(other, PeerRole.ENTRY));
    Message.Status status = sentMessages(effects, Message.Status.class).single();
    assertThat(effects.size(), equalTo(1));
    assertThat(status.state(), equalTo(ServingState.SERVING));
    assertThat(status.load(), equalTo(LoadReport.idle(3)));
  }

  // Guards against the loss of an answer when the entry resends an attempt that was answered.
  @Test
  void repeatOfFinishedAttemptGetsTheStoredAnswer() {
    AgentDriver agent = AgentDriver.serviceAgent(1);
    agent.receive(dispatch("a1"));
    agent.apply(answered("a1"));
    Vector<AgentEffect> again = agent.receive(dispatch("a1"));
    assertThat(called(again), equalTo(Vector.empty()));
    assertThat(
        sentMessages(again, Message.DispatchReply.class).map(Message.DispatchReply::answer),
        equalTo(Vector.of(ANSWER)));
  }

  // Guards against a refused attempt that runs when a copy of it arrives later.
  @Test
  void copyOfRefusedAttemptStaysRefused() {
    AgentDriver agent = AgentDriver.serviceAgent(1);
    assertThat(
        refusal(agent.receive(dispatch("a1", "kiosk", 0))),
        equalTo(RefusalReason.DEADLINE_EXCEEDED));
    assertThat(
        refusal(agent.receive(dispatch("a1", "kiosk", 5_000))),
        equalTo(RefusalReason.DEADLINE_EXCEEDED));
  }

  // Guards against a second call of an attempt whose result was evicted from memory.
  @Test
  void evictedAttemptDoesNotRunAgain() {
    AgentDriver agent = AgentDriver.serviceAgent(1);
    for (int i = 0; i < 10_000; i++) {
      agent.receive(dispatch("a" + i));
      agent.apply(answered("a" + i));
    }
    for (String old : Vector.of("a0", "a5000", "a7000")) {
      Vector<AgentEffect> effects = agent.receive(dispatch(old));
      Message.DispatchRefused refused =
          sentMessages(effects, Message.DispatchRefused.class).single();
      assertThat(called(effects), equalTo(Vector.empty()));
      assertThat(refused.reason(), equalTo(RefusalReason.RESULT_EVICTED));
      assertThat(refused.outcome(), equalTo(Outcome.UNKNOWN));
      Message.CancelResult cancelled =
          sentMessages(agent.receive(cancel(old)), Message.CancelResult.class).single();
      assertThat(cancelled.outcome(), equalTo(CancelOutcome.FINISHED));
    }
  }

  // Guards against admitting calls while the set of evicted attempts is full, after which a late
  // copy of an attempt could run again.
  @Test
  void evictedAttemptsAreFullUntilTheRetentionTimeEnds() {
    EvictedAttempts evicted = EvictedAttempts.empty();
    for (int i = 0; i < 256 * 4_096; i++) {
      evicted = evicted.add(new AttemptId("a" + i), i);
    }
    assertThat(evicted.isFull(2_000_000), equalTo(true));
    assertThat(evicted.contains(new AttemptId("a0")), equalTo(true));
    assertThat(evicted.isFull(700_000_000_000L), equalTo(false));
  }

  // Guards against a caller that keeps waiting after the deadline of its queued call.
  @Test
  void queuedAttemptIsRefusedAtItsDeadline() {
    AgentDriver agent = AgentDriver.serviceAgent(1);
    agent.receive(dispatch("a1"));
    agent.receive(dispatch("a2", "kiosk", 300));
    assertThat(refusal(agent.advanceMillis(300)), equalTo(RefusalReason.DEADLINE_EXCEEDED));
    assertThat(called(agent.apply(answered("a1"))), equalTo(Vector.empty()));
  }

  // Guards against queueing a call that cannot start before its deadline.
  @Test
  void callThatCannotStartBeforeItsDeadlineIsRefusedAtOnce() {
    AgentDriver agent = AgentDriver.serviceAgent(1);
    agent.receive(dispatch("a1"));
    agent.advanceMillis(400);
    agent.apply(answered("a1"));
    agent.receive(dispatch("a2"));
    agent.receive(dispatch("a3"));
    assertThat(
        refusal(agent.receive(dispatch("a4", "kiosk", 700))), equalTo(RefusalReason.OVERLOADED));
    Vector<AgentEffect> served = agent.receive(dispatch("a5", "kiosk", 2_000));
    assertThat(sentMessages(served, Message.DispatchRefused.class), equalTo(Vector.empty()));
  }

  // Guards against starvation of an account with few calls by one with many.
  @Test
  void accountsAreServedRoundRobinByWeight() {
    FairQueue queue = FairQueue.empty();
    for (int i = 0; i < 6; i++) {
      queue = queue.add(new ClientAccountId("large"), 2, new AttemptId("l" + i));
    }
    queue = queue.add(new ClientAccountId("small"), 1, new AttemptId("s0"));
    queue = queue.add(new ClientAccountId("small"), 1, new AttemptId("s1"));
    Vector<String> order = Vector.empty();
    for (var next = queue.poll(); next.isDefined(); next = next.get()._2.poll()) {
      order = order.append(next.get()._1.value());
    }
    assertThat(order, equalTo(Vector.of("l0", "l1", "s0", "l2", "l3", "s1", "l4", "l5")));
  }

  // Guards against refusing all other accounts while one account fills the queue.
  @Test
  void fullQueueDisplacesNewestAttemptOfLargestAccount() {
    AgentDriver agent = AgentDriver.serviceAgent(1);
    for (int i = 0; i < 65; i++) {
      agent.receive(dispatch("l" + i, "large", 60_000));
    }
    assertThat(
        refusal(agent.receive(dispatch("l65", "large", 60_000))),
        equalTo(RefusalReason.OVERLOADED));
    Vector<AgentEffect> effects = agent.receive(dispatch("s0", "small", 60_000));
    assertThat(
        sentMessages(effects, Message.DispatchRefused.class).single().attempt().value(),
        equalTo("l64"));
    agent.apply(answered("l0"));
    assertThat(called(agent.apply(answered("l1"))), equalTo(Vector.of("s0")));
  }
}
