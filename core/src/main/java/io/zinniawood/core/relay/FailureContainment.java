package io.zinniawood.core.relay;

import java.util.Optional;

/**
 * Contains the failure of a decision: it is logged, the request concerned gets its end, and the
 * effects and decisions of others go on. Errors are contained like exceptions; the JVM itself ends
 * the process when its heap is exhausted.
 */
final class FailureContainment {
  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final String REASON = "internal-failure";

  private FailureContainment() {}

  /**
   * Runs a decision.
   *
   * @param subject name of the decision in the log
   * @param request request that the decision concerns; empty if it concerns none or several
   */
  static void run(
      RelayTurn turn, String subject, Optional<RelayRequestId> request, Runnable decision) {
    try {
      decision.run();
    } catch (RuntimeException | Error failure) {
      log(turn, subject, failure);
      request.map(turn.state.open::get).ifPresent(open -> endOpen(turn, open));
    }
  }

  /** Logs the failure of a decision that another one replaces. */
  static void log(RelayTurn turn, String subject, Throwable failure) {
    turn.emit(
        new RelayEffect.LogDecision(DecisionFailure.describe("decision-failed", subject, failure)));
  }

  /** Refuses a request that has just arrived and that is neither open nor answered. */
  static void refuseIfUndecided(RelayTurn turn, RelayRequestId id) {
    if (!turn.state.open.containsKey(id)
        && turn.effects().stream().noneMatch(effect -> ends(effect, id))) {
      turn.emit(new RelayEffect.AnswerLocally(id, LocalAnswer.notRun(REASON, RETRY_AFTER_MILLIS)));
    }
  }

  private static boolean ends(RelayEffect effect, RelayRequestId id) {
    return (effect instanceof RelayEffect.AnswerLocally local && local.id().equals(id))
        || (effect instanceof RelayEffect.AbortAnswer abort && abort.id().equals(id));
  }

  private static void endOpen(RelayTurn turn, OpenRequest open) {
    // What follows must not depend on the state that made the decision fail.
    turn.state.open.remove(open.id);
    turn.state.waiting.remove(open);
    if (open.target.isPresent()) {
      turn.emit(new RelayEffect.CancelAttempt(open.id, open.attempt));
    }
    String outcome =
        open.headRelayed ? "broken-off" : open.possibleRuns > 0 ? "unknown" : "not-run";
    turn.log(
        "request-ended",
        "request",
        open.logId(),
        "route",
        open.route.name(),
        "outcome",
        outcome,
        "reason",
        REASON,
        "millis",
        turn.millisSince(open.arrivedNanos));
    if (open.headRelayed) {
      turn.emit(new RelayEffect.AbortAnswer(open.id));
    } else {
      turn.emit(
          new RelayEffect.AnswerLocally(
              open.id,
              open.possibleRuns > 0
                  ? LocalAnswer.unknownOutcome(REASON)
                  : LocalAnswer.notRun(REASON, RETRY_AFTER_MILLIS)));
    }
    CrashWatch.trialEnded(turn, open);
    EndpointUsage.end(open);
  }
}
