package io.zinniawood.core.entry;

/** Drain of the entry: readiness first, then the balancer's delay, then open requests. */
final class Drain {
  /** The platform's balancer checks readiness about once a second and drops an entry after two. */
  private static final long BALANCER_GRACE_NANOS = 3_000_000_000L;

  private Drain() {}

  /** Fails the readiness probe while requests are still taken. */
  static void begin(Turn turn) {
    if (turn.state().lifecycle().compareTo(Lifecycle.DRAIN_GRACE) >= 0) {
      return;
    }
    turn.update(state -> state.withLifecycle(Lifecycle.DRAIN_GRACE));
    turn.emit(new EntryEffect.SetReadiness(Readiness.DRAINING));
    turn.startTimer(new EntryTimer.DrainGrace(), BALANCER_GRACE_NANOS);
  }

  /** Refuses new requests once the balancer has had time to notice. */
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
