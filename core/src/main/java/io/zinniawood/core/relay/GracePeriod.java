package io.zinniawood.core.relay;

import java.util.concurrent.TimeUnit;

/** Time from the request to terminate until the platform kills the process. */
final class GracePeriod {
  private GracePeriod() {}

  /** Returns the time until the platform kills the process, in milliseconds. */
  static long millisLeft(RelayTurn turn) {
    long endNanos =
        turn.state.terminationNanos
            + TimeUnit.MILLISECONDS.toNanos(turn.state.parameters.gracePeriodMillis());
    return turn.millisUntil(endNanos);
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
