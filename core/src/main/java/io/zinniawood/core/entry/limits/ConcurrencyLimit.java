package io.zinniawood.core.entry.limits;

/**
 * Adaptive limit of the work that an entry has in flight at one endpoint: additive increase while
 * the limit is used, multiplicative decrease on refusals and timeouts.
 *
 * @param value present limit, at least 1
 * @param ceiling highest limit
 * @param decreasedNanos monotonic time of the last decrease in nanoseconds
 */
public record ConcurrencyLimit(double value, int ceiling, long decreasedNanos) {
  private static final double DECREASE = 0.8;

  /**
   * Refusals that arrive together report one overload, so the limit falls at most once in this
   * time.
   */
  private static final long DECREASE_INTERVAL_NANOS = 100_000_000;

  /** Returns a limit that starts at its ceiling. */
  public static ConcurrencyLimit initial(int ceiling) {
    int checked = Math.max(1, ceiling);
    return new ConcurrencyLimit(checked, checked, Long.MIN_VALUE / 2);
  }

  /** Returns the limit as a whole number, at least 1. */
  public int whole() {
    return Math.max(1, (int) value);
  }

  /** Returns the limit after a success with the given work in flight. */
  public ConcurrencyLimit success(int inFlight) {
    if (value >= ceiling || inFlight * 2 < whole()) {
      return this;
    }
    return new ConcurrencyLimit(Math.min(ceiling, value + 1 / value), ceiling, decreasedNanos);
  }

  /** Returns the limit after a refusal for overload or a timeout. */
  public ConcurrencyLimit overload(long nowNanos) {
    if (nowNanos - decreasedNanos < DECREASE_INTERVAL_NANOS) {
      return this;
    }
    return new ConcurrencyLimit(Math.max(1, value * DECREASE), ceiling, nowNanos);
  }

  /** Returns the limit with another ceiling. */
  public ConcurrencyLimit withCeiling(int changed) {
    int checked = Math.max(1, changed);
    if (checked == ceiling) {
      return this;
    }
    double next = value >= ceiling ? checked : Math.min(value, checked);
    return new ConcurrencyLimit(next, checked, decreasedNanos);
  }
}
