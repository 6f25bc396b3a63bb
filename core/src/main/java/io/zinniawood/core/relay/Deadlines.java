package io.zinniawood.core.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Ends requests whose deadline has passed. */
final class Deadlines {
  private Deadlines() {}

  static void check(RelayTurn turn) {
    List<OpenRequest> expired = new ArrayList<>();
    for (OpenRequest open : turn.state.open.values()) {
      if (turn.nowNanos - open.deadlineNanos >= 0) {
        expired.add(open);
      }
    }
    for (OpenRequest open : expired) {
      FailureContainment.run(
          turn, "deadlines", Optional.of(open.id), () -> end(turn, open, "deadline"));
    }
  }

  /** Ends a request whose time is up, with the outcome that is certain. */
  static void end(RelayTurn turn, OpenRequest open, String reason) {
    int attempt = open.attempt;
    boolean sent = open.target.isPresent();
    if (open.possibleRuns == 0) {
      AttemptOutcomes.refuse(turn, open, reason);
      return;
    }
    AttemptOutcomes.complete(turn, open, open.headRelayed ? "broken-off" : "unknown", reason);
    if (sent) {
      turn.emit(new RelayEffect.CancelAttempt(open.id, attempt));
    }
    turn.emit(
        open.headRelayed
            ? new RelayEffect.AbortAnswer(open.id)
            : new RelayEffect.AnswerLocally(open.id, LocalAnswer.timedOut()));
  }
}
