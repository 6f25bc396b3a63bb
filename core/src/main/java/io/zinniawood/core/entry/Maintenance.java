package io.zinniawood.core.entry;

/** Periodic work that no event brings about. */
final class Maintenance {
  private static final long INTERVAL_NANOS = 500_000_000;

  private Maintenance() {}

  static void start(Turn turn) {
    turn.startTimer(new EntryTimer.MaintenanceTick(), INTERVAL_NANOS);
  }

  static void tick(Turn turn) {
    start(turn);
    turn.update(state -> state.withFleet(state.fleet().withoutRecovered(turn.nowNanos())));
    Repair.tick(turn);
  }
}
