package io.zinniawood.core.relay;

import io.zinniawood.core.route.RouteKind;
import java.util.ArrayList;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Time from the request to terminate until the platform kills the process. Nothing is sent that
 * cannot be answered in it, and each request still open shortly before its end is answered then.
 */
final class GracePeriod {
  /** Retry-After, in milliseconds; a new connection reaches another relay. */
  static final long RETRY_MILLIS = 200;

  /** Part of the grace period that is left for the last answers to reach their callers. */
  private static final long FLUSH_DIVISOR = 8;

  private static final long MAX_FLUSH_MILLIS = 1_000;

  /** Time that must be left, relative to the expected duration, which is a mean. */
  private static final double REPEATABLE_MARGIN = 1.25;

  /** The same for a request whose caller cannot repeat it if its outcome is unknown. */
  private static final double UNREPEATABLE_MARGIN = 3;

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

  /** Returns whether an attempt that begins now could not even meet its route's target. */
  static boolean tooLate(RelayTurn turn, OpenRequest open) {
    return tooLate(turn, open, open.route.targetLatencyMillis());
  }

  /**
   * Returns whether an attempt that begins now is likely to be cut by the end of the grace period.
   * A request whose own deadline comes first is served as usual.
   */
  static boolean tooLate(RelayTurn turn, OpenRequest open, double expectedMillis) {
    long endNanos = workEndNanos(turn.state);
    if (!turn.state.terminating || open.deadlineNanos - endNanos <= 0) {
      return false;
    }
    double margin =
        open.route.kind() == RouteKind.NON_IDEMPOTENT ? UNREPEATABLE_MARGIN : REPEATABLE_MARGIN;
    return turn.millisUntil(endNanos) < margin * expectedMillis;
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
