package io.zinniawood.core.relay;

import java.util.ArrayList;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Time from the request to terminate until the platform kills the process. Each request that is
 * still open shortly before its end is answered then.
 */
final class GracePeriod {
  /** Retry-After, in milliseconds; a new connection reaches another relay. */
  static final long RETRY_MILLIS = 200;

  /** Part of the grace period that is left for the last answers to reach their callers. */
  private static final long FLUSH_DIVISOR = 8;

  private static final long MAX_FLUSH_MILLIS = 1_000;

  private GracePeriod() {}

  /** Returns the time until the platform kills the process, in milliseconds. */
  static long millisLeft(RelayTurn turn) {
    return turn.state.parameters.gracePeriodMillis()
        - turn.millisSince(turn.state.terminationNanos);
  }

  /** Returns the monotonic time in nanoseconds at which the last requests are ended. */
  static long workEndNanos(RelayState state) {
    long graceMillis = state.parameters.gracePeriodMillis();
    long flushMillis = Math.min(MAX_FLUSH_MILLIS, graceMillis / FLUSH_DIVISOR);
    return state.terminationNanos + TimeUnit.MILLISECONDS.toNanos(graceMillis - flushMillis);
  }

  /** Ends a request that is at no endpoint, so that its caller can go to another relay. */
  static void end(RelayTurn turn, OpenRequest open) {
    if (open.headRelayed || open.possibleRuns > 0) {
      AttemptOutcomes.refuse(turn, open, "draining");
      return;
    }
    AttemptOutcomes.complete(turn, open, "not-run", "draining");
    turn.emit(new RelayEffect.AnswerLocally(open.id, LocalAnswer.notRun("draining", RETRY_MILLIS)));
  }

  /** Ends all open requests shortly before the end of the grace period. */
  static void tick(RelayTurn turn) {
    if (!turn.state.terminating || turn.nowNanos - workEndNanos(turn.state) < 0) {
      return;
    }
    for (OpenRequest open : new ArrayList<>(turn.state.open.values())) {
      FailureContainment.run(
          turn, "grace-period", Optional.of(open.id), () -> endAtEndOfGrace(turn, open));
    }
  }

  private static void endAtEndOfGrace(RelayTurn turn, OpenRequest open) {
    if (open.target.isPresent()) {
      Deadlines.end(turn, open, "grace-period");
    } else {
      end(turn, open);
    }
  }

  /** Logs how a request ended that was open at or after the request to terminate. */
  static void logEnd(RelayTurn turn, OpenRequest open, String outcome, String reason) {
    if (turn.state.terminating) {
      turn.log(
          "drained-request",
          "request",
          open.logId(),
          "outcome",
          outcome,
          "reason",
          reason,
          "arrivedAfterMillis",
          TimeUnit.NANOSECONDS.toMillis(open.arrivedNanos - turn.state.terminationNanos),
          "graceLeftMillis",
          millisLeft(turn));
    }
  }
}
