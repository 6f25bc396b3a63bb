package io.zinniawood.core.entry;

/** Periodic work that no other event triggers. */
final class Maintenance {
  private static final long INTERVAL_NANOS = 500_000_000;

  /**
   * Incidents with one cause occur within seconds; a cause that persists is reported again after
   * this time.
   */
  private static final long INCIDENT_INTERVAL_NANOS = 10_000_000_000L;

  private Maintenance() {}

  /** Starts the timer of the next run. */
  static void start(Turn turn) {
    turn.startTimer(new EntryTimer.MaintenanceTick(), INTERVAL_NANOS);
  }

  /** Removes expired links and incident records from the state and runs the repair. */
  static void tick(Turn turn) {
    start(turn);
    turn.update(state -> state.withFleet(state.fleet().withoutRecoveredLinks(turn.nowNanos())));
    if (!turn.state().usage().incidentTimesNanos().isEmpty()) {
      turn.update(
          state ->
              state.withUsage(
                  state.usage().withoutIncidentsBefore(turn.nowNanos() - INCIDENT_INTERVAL_NANOS)));
    }
    Repair.tick(turn);
  }
}
