package io.zinniawood.core.entry;

/** Dispatch list of the timers: one line for each. */
final class Timers {
  private Timers() {}

  static void fired(Turn turn, EntryTimer timer) {
    if (timer instanceof EntryTimer.RequestDeadline deadline) {
      OpenRequests.deadline(turn, deadline.request());
    } else if (timer instanceof EntryTimer.AttemptTimeout attempt) {
      Attempts.timedOut(turn, attempt.request(), attempt.attempt());
    } else if (timer instanceof EntryTimer.RetryDelay retry) {
      OpenRequests.retryDelayOver(turn, retry.request());
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
    }
  }
}
