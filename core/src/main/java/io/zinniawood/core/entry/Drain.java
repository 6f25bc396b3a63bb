package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.id.RequestId;

/**
 * Drains the entry: the readiness probe fails first, new requests are refused once the balancer has
 * had time to react, and the process stops after the last open request. Requests still open shortly
 * before the process is killed are answered then.
 */
final class Drain {
  /**
   * The platform's balancer probes readiness about once a second and removes an entry after two
   * failed probes.
   */
  private static final long BALANCER_GRACE_NANOS = 3_000_000_000L;

  /** Longest drain; the process replaces it by its own grace period. */
  private static final long MAX_DRAIN_NANOS = 119_000_000_000L;

  private Drain() {}

  /** Starts the drain: the readiness probe fails while new requests are still accepted. */
  static void begin(Turn turn) {
    if (turn.state().lifecycle().compareTo(Lifecycle.DRAIN_GRACE) >= 0) {
      return;
    }
    turn.update(state -> state.withLifecycle(Lifecycle.DRAIN_GRACE));
    turn.emit(new EntryEffect.SetReadiness(Readiness.DRAINING));
    turn.startTimer(new EntryTimer.DrainGrace(), BALANCER_GRACE_NANOS);
    turn.startTimer(new EntryTimer.DrainEnd(), MAX_DRAIN_NANOS);
  }

  /** Refuses new requests now that the balancer has had time to remove this entry. */
  static void graceElapsed(Turn turn) {
    if (turn.state().lifecycle() == Lifecycle.DRAIN_GRACE) {
      turn.update(state -> state.withLifecycle(Lifecycle.DRAINING));
      stopIfIdle(turn);
    }
  }

  /** Ends the open requests as if their deadlines had passed, so that the kill cuts none. */
  static void endElapsed(Turn turn) {
    graceElapsed(turn);
    if (turn.state().lifecycle() == Lifecycle.DRAINING) {
      for (RequestId request : turn.state().requests().keySet().toVector().sorted()) {
        FailureContainment.run(
            turn,
            "drain-end",
            Option.some(request),
            () -> OpenRequests.deadlinePassed(turn, request));
      }
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
