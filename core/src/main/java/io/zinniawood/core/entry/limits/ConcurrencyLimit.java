package io.zinniawood.core.entry.limits;

/**
 * Adaptive limit on an entry's requests in flight at one endpoint: additive increase while at least
 * half of the limit is in use, multiplicative decrease on refusals and timeouts (AIMD).
 *
 * @param value current limit, at least 1
 * @param nominal concurrency that the endpoint advertises
 * @param decreasedNanos monotonic time of the last decrease in nanoseconds
 */
public record ConcurrencyLimit(double value, int nominal, long decreasedNanos) {
  /** Factor on the limit after an overload. */
  private static final double DECREASE_FACTOR = 0.8;

  /**
   * Minimum time between two decreases. Refusals that arrive together report a single overload, so
   * the limit is decreased only once for them.
   */
  private static final long DECREASE_INTERVAL_NANOS = 100_000_000;

  /** Returns a limit that starts at the concurrency that the endpoint advertises. */
  public static ConcurrencyLimit initial(int nominal) {
    int atLeastOne = Math.max(1, nominal);
    return new ConcurrencyLimit(atLeastOne, atLeastOne, Long.MIN_VALUE / 2);
  }

  /**
   * Returns the maximum of the limit, which is 1.5 times the nominal concurrency. Requests in
   * transit count as in flight, and without some requests queued at the endpoint it would be idle
   * for a round trip after each one.
   */
  public int ceiling() {
    return nominal + (nominal + 1) / 2;
  }

  /** Returns the limit rounded down, at least 1. */
  public int toInt() {
    return Math.max(1, (int) value);
  }

  /** Returns the limit after a success with the given number of requests in flight. */
  public ConcurrencyLimit afterSuccess(int inFlight) {
    if (value >= ceiling() || inFlight * 2 < toInt()) {
      return this;
    }
    return new ConcurrencyLimit(Math.min(ceiling(), value + 1 / value), nominal, decreasedNanos);
  }

  /** Returns the limit after a refusal for overload or after a timeout. */
  public ConcurrencyLimit afterOverload(long nowNanos) {
    if (nowNanos - decreasedNanos < DECREASE_INTERVAL_NANOS) {
      return this;
    }
    return new ConcurrencyLimit(Math.max(1, value * DECREASE_FACTOR), nominal, nowNanos);
  }

  /** Returns this limit, or a new initial one if the advertised concurrency has changed. */
  public ConcurrencyLimit withNominal(int changed) {
    return Math.max(1, changed) == nominal ? this : initial(changed);
  }
}
