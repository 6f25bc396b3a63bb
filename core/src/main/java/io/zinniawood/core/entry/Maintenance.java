package io.zinniawood.core.entry;

/** Periodic work that no event brings about. */
final class Maintenance {
  private static final long INTERVAL_NANOS = 500_000_000;

  /** Incidents with one cause come within seconds; a cause that lasts is reported again. */
  private static final long REPORT_INTERVAL_NANOS = 10_000_000_000L;

  private Maintenance() {}

  /** Starts the timer of the next run. */
  static void start(Turn turn) {
    turn.startTimer(new EntryTimer.MaintenanceTick(), INTERVAL_NANOS);
  }

  /** Forgets what is out of date and lets the holder of the lease repair. */
  static void tick(Turn turn) {
    start(turn);
    turn.update(state -> state.withFleet(state.fleet().withoutRecovered(turn.nowNanos())));
    if (!turn.state().usage().incidentTimesNanos().isEmpty()) {
      turn.update(
          state ->
              state.withUsage(
                  state.usage().withoutIncidentsBefore(turn.nowNanos() - REPORT_INTERVAL_NANOS)));
    }
    Repair.tick(turn);
  }
}
