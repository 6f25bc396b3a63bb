package io.zinniawood.store.http;

import java.util.random.RandomGenerator;

/**
 * Lets calls fail at once while a service is down. After a pause with jitter one call passes as a
 * probe; its success closes the circuit. Time is an argument in nanoseconds of a monotonic clock.
 */
final class CircuitBreaker {
  private final CircuitBreakerSettings settings;
  private final RandomGenerator random;
  private State state = State.CLOSED;
  private int consecutiveFailures;
  private double meanProbeDelayMillis;
  private long nextProbeNanos;

  private enum State {
    CLOSED,
    OPEN,
    HALF_OPEN
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

  CircuitBreaker(CircuitBreakerSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  synchronized Permit acquire(long nowNanos) {
    if (state == State.CLOSED) {
      return Permit.CALL;
    }
    if (state == State.OPEN && nowNanos - nextProbeNanos >= 0) {
      state = State.HALF_OPEN;
      return Permit.PROBE;
    }
    return Permit.REFUSED;
  }

  /** Records that the service answered. */
  synchronized void recordSuccess() {
    state = State.CLOSED;
    consecutiveFailures = 0;
  }

  /** Records a failure; failures of calls that were sent before the circuit opened do not count. */
  synchronized void recordFailure(Permit permit, long nowNanos) {
    if (permit == Permit.PROBE) {
      meanProbeDelayMillis =
          Math.min((double) settings.maxProbeDelayMillis(), meanProbeDelayMillis * 2);
      open(nowNanos);
    } else if (state == State.CLOSED) {
      consecutiveFailures++;
      if (consecutiveFailures >= settings.failureThreshold()) {
        meanProbeDelayMillis = (double) settings.initialProbeDelayMillis();
        open(nowNanos);
      }
    }
  }

  /** The pause is drawn from half to one and a half times its mean, so that probes spread out. */
  private void open(long nowNanos) {
    state = State.OPEN;
    nextProbeNanos = nowNanos + (long) (meanProbeDelayMillis * 1e6 * (0.5 + random.nextDouble()));
  }
}
