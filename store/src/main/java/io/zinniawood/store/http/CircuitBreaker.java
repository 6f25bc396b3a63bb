package io.zinniawood.store.http;

import java.util.random.RandomGenerator;

/**
 * Circuit breaker that makes calls fail immediately while a service is down. After a delay with
 * jitter, a single call is sent as a probe; if it succeeds, the circuit breaker closes. Callers
 * pass the current time in nanoseconds of a monotonic clock.
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

  /** Whether and how a call may be sent. */
  enum Permit {
    /** The call may be sent. */
    CALL,
    /** The call may be sent; its result closes the circuit breaker or keeps it open. */
    PROBE,
    /** The call must not be sent. */
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

  /** Records that the service responded; closes the circuit breaker. */
  synchronized void recordSuccess() {
    state = State.CLOSED;
    consecutiveFailures = 0;
  }

  /**
   * Records a failed call. Failures of calls that were sent before the circuit breaker opened are
   * ignored, so that they do not postpone the next probe.
   */
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

  /**
   * Opens the circuit breaker. The delay until the next probe is random, from 0.5 to 1.5 times its
   * mean, so that processes do not probe at the same time.
   */
  private void open(long nowNanos) {
    state = State.OPEN;
    nextProbeNanos = nowNanos + (long) (meanProbeDelayMillis * 1e6 * (0.5 + random.nextDouble()));
  }
}
