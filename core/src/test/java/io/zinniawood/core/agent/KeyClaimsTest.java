package io.zinniawood.core.agent;

import static io.zinniawood.core.agent.AgentDriver.ANSWER;
import static io.zinniawood.core.agent.AgentDriver.effectsOfType;
import static io.zinniawood.core.agent.AgentDriver.keyed;
import static io.zinniawood.core.agent.AgentDriver.sentMessages;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import org.junit.jupiter.api.Test;

class KeyClaimsTest {
  private static final PeerId OTHER_ENTRY = new PeerId("entry-2", new Incarnation(2));

  private final AgentDriver agent = AgentDriver.serviceAgent(2);

  private Vector<AgentEffect> written(String attempt, ClaimWriteResult result) {
    return agent.apply(new AgentEvent.ClaimWritten(new AttemptId(attempt), result));
  }

  private Vector<AgentEffect> stored(String attempt, StoreWriteResult result) {
    return agent.apply(new AgentEvent.AnswerStored(new AttemptId(attempt), result));
  }

  private Vector<AgentEffect> answered(String attempt) {
    return agent.apply(new AgentEvent.ServiceAnswered(new AttemptId(attempt), ANSWER));
  }

  private static ClaimRow row(Vector<AgentEffect> effects) {
    return effectsOfType(effects, AgentEffect.StoreAnswer.class).single().row();
  }

  private static Message.DispatchRefused refused(Vector<AgentEffect> effects) {
    return sentMessages(effects, Message.DispatchRefused.class).single();
  }

  // Guards against a call that starts before its claim is written, and against an answer that is
  // not stored.
  @Test
  void claimIsWrittenBeforeTheCallAndAnswerIsStored() {
    Vector<AgentEffect> claiming = agent.receive(keyed("a1", "k", 0));
    assertThat(claiming.size(), equalTo(1));
    assertThat(
        effectsOfType(claiming, AgentEffect.WriteClaim.class).single().row().state(),
        equalTo(ClaimState.STARTED));
    assertThat(
        effectsOfType(written("a1", new ClaimWriteResult.Claimed()), AgentEffect.CallService.class)
            .size(),
        equalTo(1));
    Vector<AgentEffect> ended = answered("a1");
    assertThat(sentMessages(ended, Message.DispatchReply.class).size(), equalTo(1));
    assertThat(row(ended).answer(), equalTo(Option.some(ANSWER)));
  }

  // Guards against the loss of an answer when the table fails after the call.
  @Test
  void answerWriteIsRetriedUntilItSucceeds() {
    agent.receive(keyed("a1", "k", 0));
    written("a1", new ClaimWriteResult.Claimed());
    answered("a1");
    stored("a1", StoreWriteResult.FAILED);
    assertThat(row(agent.advanceMillis(400)).state(), equalTo(ClaimState.FINISHED));
    stored("a1", StoreWriteResult.DONE);
    assertThat(agent.state().calls().idle(), equalTo(true));
  }

  // Guards against a second call when another entry repeats the key while the first call runs.
  @Test
  void repeatThroughAnotherEntryWaitsForTheSameAnswer() {
    agent.apply(new AgentEvent.PeerConnected(OTHER_ENTRY, PeerRole.ENTRY));
    agent.receive(keyed("a1", "k", 0));
    written("a1", new ClaimWriteResult.Claimed());
    assertThat(
        effectsOfType(
            agent.receive(OTHER_ENTRY, keyed("b1", "k", 0)), AgentEffect.WriteClaim.class),
        equalTo(Vector.empty()));
    Message.CancelResult cancelled =
        sentMessages(
                agent.receive(OTHER_ENTRY, AgentDriver.cancel("b1")), Message.CancelResult.class)
            .single();
    assertThat(cancelled.outcome(), equalTo(CancelOutcome.RUNNING));
    Vector<AgentEffect> ended = answered("a1");
    assertThat(
        effectsOfType(ended, AgentEffect.Send.class).map(AgentEffect.Send::peer),
        equalTo(Vector.of(AgentDriver.ENTRY, OTHER_ENTRY)));
    assertThat(
        sentMessages(ended, Message.DispatchReply.class).map(Message.DispatchReply::answer),
        equalTo(Vector.of(ANSWER, ANSWER)));
  }

  // Guards against replying to a different request with the stored answer of the key.
  @Test
  void reusedKeyWithDifferentBodyIsRefused() {
    agent.receive(keyed("a1", "k", 0));
    Message.Dispatch changed = keyed("a2", "k", 0, "another amount");
    assertThat(refused(agent.receive(changed)).reason(), equalTo(RefusalReason.DIGEST_MISMATCH));
  }

  // Guards against a call during a store outage, and against a claim that remains in state STARTED.
  @Test
  void storeOutageRefusesCallAsNotRunAndReleasesClaim() {
    agent.receive(keyed("a1", "k", 0));
    Vector<AgentEffect> effects = written("a1", new ClaimWriteResult.OutcomeUnknown());
    assertThat(refused(effects).reason(), equalTo(RefusalReason.STORE_UNAVAILABLE));
    assertThat(refused(effects).outcome(), equalTo(Outcome.NOT_RUN));
    assertThat(row(effects).state(), equalTo(ClaimState.RELEASED));
    assertThat(row(effects).fence().value(), equalTo(1L));
    assertThat(
        refused(agent.receive(keyed("a1", "k", 0))).reason(),
        equalTo(RefusalReason.STORE_UNAVAILABLE));
    agent.receive(keyed("a2", "k", 0));
    Message.DispatchRefused second = refused(stored("a1", StoreWriteResult.DONE));
    assertThat(second.reason(), equalTo(RefusalReason.CLAIMED_BY_OTHER));
    assertThat(second.claim().map(ClaimRow::state), equalTo(Option.some(ClaimState.RELEASED)));
  }

  // Guards against a call after its cancellation was confirmed while the claim was being written.
  @Test
  void cancelWhileClaimIsWrittenReleasesClaim() {
    agent.receive(keyed("a1", "k", 0));
    assertThat(
        sentMessages(agent.receive(AgentDriver.cancel("a1")), Message.CancelResult.class)
            .single()
            .outcome(),
        equalTo(CancelOutcome.NOT_STARTED));
    Vector<AgentEffect> effects = written("a1", new ClaimWriteResult.Claimed());
    assertThat(effectsOfType(effects, AgentEffect.CallService.class), equalTo(Vector.empty()));
    assertThat(row(effects).state(), equalTo(ClaimState.RELEASED));
  }

  // Guards against a repeat that keeps waiting for an attempt that ended without a call.
  @Test
  void waitingRepeatClaimsKeyWhenFirstAttemptDoesNotRun() {
    agent.receive(keyed("a1", "k", 0));
    agent.receive(keyed("b1", "k", 0));
    agent.receive(AgentDriver.cancel("a1"));
    Vector<AgentEffect> effects =
        written(
            "a1",
            new ClaimWriteResult.HeldByOther(
                rowOfOtherAgent(new AttemptId("z1"), ClaimState.RELEASED, 3)));
    assertThat(
        effectsOfType(effects, AgentEffect.WriteClaim.class).map(claim -> claim.attempt().value()),
        equalTo(Vector.of("b1")));
  }

  static ClaimRow rowOfOtherAgent(AttemptId attempt, ClaimState state, long fence) {
    return new ClaimRow(
        new EndpointId("e9"),
        new Incarnation(9),
        attempt,
        "digest",
        state,
        new Fence(fence),
        Option.none());
  }

  // Guards against treating a key that another agent claimed as free.
  @Test
  void claimOfAnotherAgentIsReportedWithItsRow() {
    agent.receive(keyed("a1", "k", 0));
    ClaimRow row = rowOfOtherAgent(new AttemptId("z1"), ClaimState.RELEASED, 3);
    Message.DispatchRefused first = refused(written("a1", new ClaimWriteResult.HeldByOther(row)));
    assertThat(first.reason(), equalTo(RefusalReason.CLAIMED_BY_OTHER));
    assertThat(first.claim(), equalTo(Option.some(row)));
    assertThat(refused(agent.receive(keyed("a1", "k", 0))), equalTo(first));
  }

  // Guards against delays of calls without a key while the table does not answer.
  @Test
  void pendingClaimsTakeNoCallSlotWhileTheTableIsSlow() {
    agent.receive(keyed("a1", "k", 0));
    agent.receive(keyed("a2", "l", 0));
    for (String attempt : Vector.of("a3", "a4")) {
      Vector<AgentEffect> effects = agent.receive(AgentDriver.dispatch(attempt));
      assertThat(effectsOfType(effects, AgentEffect.CallService.class).size(), equalTo(1));
    }
    assertThat(
        effectsOfType(written("a1", new ClaimWriteResult.Claimed()), AgentEffect.CallService.class),
        equalTo(Vector.empty()));
    assertThat(row(agent.receive(AgentDriver.cancel("a1"))).state(), equalTo(ClaimState.RELEASED));
  }

  // Guards against a second call for a key whose first call has an unknown outcome.
  @Test
  void repeatOfCallWithUnknownOutcomeIsRefusedAsUnknown() {
    Vector<AgentEffect> claiming = agent.receive(keyed("a1", "k", 0));
    written("a1", new ClaimWriteResult.Claimed());
    agent.apply(new AgentEvent.ServiceFailed(new AttemptId("a1"), Outcome.UNKNOWN, "lost"));
    agent.receive(keyed("a2", "k", 0));
    ClaimRow started = effectsOfType(claiming, AgentEffect.WriteClaim.class).single().row();
    Message.DispatchRefused second =
        refused(written("a2", new ClaimWriteResult.HeldByOther(started)));
    assertThat(second.outcome(), equalTo(Outcome.UNKNOWN));
    assertThat(second.reason(), equalTo(RefusalReason.ENDPOINT_FAILED));
  }

  // Guards against a keyed call that starts after its deadline because the table was slow.
  @Test
  void claimWrittenAfterTheDeadlineIsReleased() {
    agent.receive(keyed("a1", "k", 0));
    agent.advanceMillis(10_000);
    Vector<AgentEffect> effects = written("a1", new ClaimWriteResult.Claimed());
    assertThat(refused(effects).reason(), equalTo(RefusalReason.DEADLINE_EXCEEDED));
    assertThat(row(effects).state(), equalTo(ClaimState.RELEASED));
  }
}
