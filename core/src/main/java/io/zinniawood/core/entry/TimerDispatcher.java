package io.zinniawood.core.entry;

/** Calls the handler of each type of timer. */
final class TimerDispatcher {
  private TimerDispatcher() {}

  static void fired(Turn turn, EntryTimer timer) {
    if (timer instanceof EntryTimer.RequestDeadline deadline) {
      OpenRequests.deadlinePassed(turn, deadline.request());
    } else if (timer instanceof EntryTimer.AttemptTimeout attempt) {
      Attempts.attemptTimedOut(turn, attempt.request(), attempt.attempt());
    } else if (timer instanceof EntryTimer.RetryDelay retry) {
      OpenRequests.retryDelayElapsed(turn, retry.request());
    } else if (timer instanceof EntryTimer.SessionProgressTimeout progress) {
      SessionTimeouts.fired(turn, progress.session(), progress.epoch());
    } else if (timer instanceof EntryTimer.ReconnectDelay reconnect) {
      Connections.reconnectDelayElapsed(turn, reconnect.endpoint());
    } else if (timer instanceof EntryTimer.LeaseTick) {
      Leases.tick(turn);
    } else if (timer instanceof EntryTimer.MaintenanceTick) {
      Maintenance.tick(turn);
    } else if (timer instanceof EntryTimer.DrainGrace) {
      Drain.graceElapsed(turn);
    } else if (timer instanceof EntryTimer.DrainEnd) {
      Drain.endElapsed(turn);
    }
  }
}
