package io.zinniawood.core.entry;

/**
 * Drains the entry: the readiness probe fails first, new requests are refused once the balancer has
 * had time to react, and the process stops after the last open request.
 */
final class Drain {
  /**
   * The platform's balancer probes readiness about once a second and removes an entry after two
   * failed probes.
   */
  private static final long BALANCER_GRACE_NANOS = 3_000_000_000L;

  private Drain() {}

  /** Starts the drain: the readiness probe fails while new requests are still accepted. */
  static void begin(Turn turn) {
    if (turn.state().lifecycle().compareTo(Lifecycle.DRAIN_GRACE) >= 0) {
      return;
    }
    turn.update(state -> state.withLifecycle(Lifecycle.DRAIN_GRACE));
    turn.emit(new EntryEffect.SetReadiness(Readiness.DRAINING));
    turn.startTimer(new EntryTimer.DrainGrace(), BALANCER_GRACE_NANOS);
  }

  /** Refuses new requests now that the balancer has had time to remove this entry. */
  static void graceElapsed(Turn turn) {
    if (turn.state().lifecycle() == Lifecycle.DRAIN_GRACE) {
      turn.update(state -> state.withLifecycle(Lifecycle.DRAINING));
      stopIfIdle(turn);
    }
  }

  /** Stops the process once the last open request of a draining entry has ended. */
  static void stopIfIdle(Turn turn) {
    if (turn.state().lifecycle() == Lifecycle.DRAINING && turn.state().requests().isEmpty()) {
      turn.update(state -> state.withLifecycle(Lifecycle.STOPPED));
      turn.emit(new EntryEffect.StopProcess());
    }
  }
}
