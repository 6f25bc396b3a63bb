package io.zinniawood.core.relay;

/**
 * Decides whether an answer that ended with its connection is whole. The operating system closes
 * the connections of a killed process in order, so the end alone does not show that the process had
 * sent everything; that it still answers after the end does.
 */
final class AnswerConfirmation {
  private AnswerConfirmation() {}

  /** Asks the endpoint for a sign of life before its answer counts. */
  static void answerEnded(RelayTurn turn, RelayEvent.AnswerEnded event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null || open.attempt != event.attempt()) {
      return;
    }
    // Its head alone says that the request has not run, and nothing else of it is relayed.
    if (event.answer().certainlyNotRun()) {
      turn.emit(new RelayEffect.TakeAnswer(open.id, open.attempt));
      return;
    }
    open.answerEndedNanos = turn.nowNanos;
    open.answerEndedInPause = EndpointHealthChecks.delayedByPause(turn);
    askForSign(turn, open);
  }

  private static void askForSign(RelayTurn turn, OpenRequest open) {
    open.signsAwaited++;
    turn.emit(new RelayEffect.ConfirmEndpoint(open.id, open.attempt));
  }

  /** Takes the answer for whole, or ends the attempt. */
  static void endpointHeard(RelayTurn turn, RelayEvent.EndpointHeard event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null || open.attempt != event.attempt()) {
      return;
    }
    // A pause of this process may have used up the time for the sign.
    if (event.sign() == EndpointSign.NONE
        && open.signsAwaited == 1
        && EndpointHealthChecks.delayedByPause(turn)) {
      askForSign(turn, open);
      return;
    }
    turn.logSuspicious(
        true,
        "answer-end-checked",
        "request",
        open.logId(),
        "attempt",
        open.attempt,
        "endpoint",
        open.target.map(Object::toString).orElse("-"),
        "sign",
        event.sign().name(),
        "millis",
        turn.millisSince(open.answerEndedNanos));
    // Endpoints that run paths give reports, which name their process; plain ones may give none. A
    // killed process can have been replaced during a pause.
    boolean outlived =
        event.sign() == EndpointSign.ALIVE
            || (event.sign() == EndpointSign.UNNAMED
                && open.path.isEmpty()
                && !open.answerEndedInPause);
    if (outlived) {
      turn.emit(new RelayEffect.TakeAnswer(open.id, open.attempt));
    } else {
      AttemptOutcomes.attemptFailed(
          turn,
          new RelayEvent.AttemptFailed(
              open.id, open.attempt, AttemptFailureCause.END_UNCONFIRMED, open.lastEventId));
    }
  }
}
