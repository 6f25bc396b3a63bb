package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.frame.ForeignHead;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class SuspiciousAnswersTest {
  private final RelayHarness relay = new RelayHarness();

  private List<Boolean> evidenceOf(String event) {
    return relay.effectsOf(RelayEffect.LogDecision.class).stream()
        .map(RelayEffect.LogDecision::decision)
        .filter(decision -> decision.event().equals(event))
        .map(Decision::suspicious)
        .toList();
  }

  private void answerRelayed(AnswerEvidence evidence) {
    RelayRequestId id = relay.request("read");
    relay.answerReceived(id, 1, 200);
    relay.post(new RelayEvent.AnswerRelayed(id, 1, evidence));
  }

  // The lines of an answer that another one had filled were dropped with those of refusals.
  @ParameterizedTest
  @EnumSource(
      value = AttemptFailureCause.class,
      names = {"FOREIGN_HEAD", "END_UNCONFIRMED", "INVALID_ANSWER"})
  void attemptWithSuspiciousAnswerIsEvidence(AttemptFailureCause cause) {
    relay.list(relay.plain("a"));
    RelayRequestId id = relay.request("book");
    relay.attemptFailed(id, 1, cause);
    assertThat(evidenceOf("attempt-ended"), is(List.of(true)));
    assertThat(evidenceOf("request-ended"), is(List.of(true)));
  }

  // An end at the time limit has no line but that of the end of its request.
  @Test
  void endAtTheTimeLimitIsEvidence() {
    relay.list(relay.plain("a"));
    RelayRequestId id = relay.request("book");
    relay.attemptFailed(id, 1, AttemptFailureCause.TIME_LIMIT);
    assertThat(evidenceOf("request-ended"), is(List.of(true)));
  }

  // Failures without an answer come in thousands as an endpoint dies and would use up the room.
  @Test
  void lostConnectionsAndOrdinaryAnswersAreNoEvidence() {
    relay.list(relay.plain("a"));
    relay.attemptFailed(relay.request("book"), 1, AttemptFailureCause.CONNECTION_LOST);
    answerRelayed(RelayHarness.EVIDENCE);
    assertThat(evidenceOf("attempt-ended"), is(List.of(false)));
    assertThat(evidenceOf("request-ended"), is(List.of(false, false)));
  }

  // A believed answer that was not the request's own left only the line of its end.
  @Test
  void believedAnswersWithAnUnusualEndAreEvidence() {
    relay.list(relay.plain("a"));
    AnswerEvidence.End length = AnswerEvidence.End.LENGTH;
    answerRelayed(
        new AnswerEvidence(AnswerEvidence.End.CONNECTION, 0, false, ForeignHead.ABSENT, 1_000));
    answerRelayed(new AnswerEvidence(length, 1, false, ForeignHead.ABSENT, 1_000));
    answerRelayed(new AnswerEvidence(length, 0, false, ForeignHead.POSSIBLE, 1_000));
    answerRelayed(
        new AnswerEvidence(
            length, 0, false, ForeignHead.ABSENT, AnswerEvidence.LIMIT_MARGIN_MILLIS));
    assertThat(evidenceOf("request-ended"), is(List.of(true, true, true, true)));
  }
}
