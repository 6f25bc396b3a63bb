package io.zinniawood.store.http;

import java.util.random.RandomGenerator;

/**
 * Lets calls fail at once while a service is down. After a pause with jitter one call passes as a
 * probe; its success closes the circuit. Time is an argument in nanoseconds of a monotonic clock.
 */
final class Circuit {
  private final CircuitSettings settings;
  private final RandomGenerator random;
  private State state = State.CLOSED;
  private int failures;
  private double pauseMillis;
  private long probeAtNanos;

  private enum State {
    CLOSED,
    OPEN,
    PROBING
  }

  /** Permission of a call. */
  enum Permit {
    /** The call may be sent. */
    CALL,
    /** The call may be sent; its result decides about the circuit. */
    PROBE,
    /** The call must fail without being sent. */
    REFUSED
  }

  Circuit(CircuitSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  synchronized Permit acquire(long nowNanos) {
    if (state == State.CLOSED) {
      return Permit.CALL;
    }
    if (state == State.OPEN && nowNanos - probeAtNanos >= 0) {
      state = State.PROBING;
      return Permit.PROBE;
    }
    return Permit.REFUSED;
  }

  /** Records that the service answered. */
  synchronized void succeeded() {
    state = State.CLOSED;
    failures = 0;
  }

  /** Records a failure; failures of calls that were sent before the circuit opened do not count. */
  synchronized void failed(Permit permit, long nowNanos) {
    if (permit == Permit.PROBE) {
      pauseMillis = Math.min((double) settings.maxPauseMillis(), pauseMillis * 2);
      open(nowNanos);
    } else if (state == State.CLOSED) {
      failures++;
      if (failures >= settings.failuresToOpen()) {
        pauseMillis = (double) settings.firstPauseMillis();
        open(nowNanos);
      }
    }
  }

  /** The pause is drawn from half to one and a half times its mean, so that probes spread out. */
  private void open(long nowNanos) {
    state = State.OPEN;
    probeAtNanos = nowNanos + (long) (pauseMillis * 1e6 * (0.5 + random.nextDouble()));
  }
}
