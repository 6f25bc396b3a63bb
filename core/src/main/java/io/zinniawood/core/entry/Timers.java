package io.zinniawood.core.entry;

/** Dispatch list of the timers. */
final class Timers {
  private Timers() {}

  static void fired(Turn turn, EntryTimer timer) {
    if (timer instanceof EntryTimer.RequestDeadline deadline) {
      OpenRequests.deadline(turn, deadline.request());
    } else if (timer instanceof EntryTimer.ReconnectDelay reconnect) {
      Membership.reconnect(turn, reconnect.endpoint());
    } else if (timer instanceof EntryTimer.DrainGrace) {
      Drain.graceEnded(turn);
    }
  }
}
