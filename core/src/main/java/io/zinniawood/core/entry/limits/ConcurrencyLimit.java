package io.zinniawood.core.entry.limits;

/**
 * Adaptive limit of the work that an entry has in flight at one endpoint: additive increase while
 * the limit is used, multiplicative decrease on refusals and timeouts.
 *
 * @param value present limit, at least 1
 * @param nominal most work that the endpoint says it runs at once
 * @param decreasedNanos monotonic time of the last decrease in nanoseconds
 */
public record ConcurrencyLimit(double value, int nominal, long decreasedNanos) {
  private static final double DECREASE_FACTOR = 0.8;

  /**
   * Refusals that arrive together report one overload, so the limit falls at most once in this
   * time.
   */
  private static final long DECREASE_INTERVAL_NANOS = 100_000_000;

  /** Returns a limit that starts at the work that the endpoint says it runs at once. */
  public static ConcurrencyLimit initial(int nominal) {
    int checked = Math.max(1, nominal);
    return new ConcurrencyLimit(checked, checked, Long.MIN_VALUE / 2);
  }

  /**
   * Returns the highest limit. It is half above the nominal one: work on its way to or from the
   * endpoint counts as in flight, and without some work that waits there the endpoint would idle
   * for a round trip after each piece.
   */
  public int ceiling() {
    return nominal + (nominal + 1) / 2;
  }

  /** Returns the limit as a whole number, at least 1. */
  public int toInt() {
    return Math.max(1, (int) value);
  }

  /** Returns the limit after a success with the given work in flight. */
  public ConcurrencyLimit afterSuccess(int inFlight) {
    if (value >= ceiling() || inFlight * 2 < toInt()) {
      return this;
    }
    return new ConcurrencyLimit(Math.min(ceiling(), value + 1 / value), nominal, decreasedNanos);
  }

  /** Returns the limit after a refusal for overload or a timeout. */
  public ConcurrencyLimit afterOverload(long nowNanos) {
    if (nowNanos - decreasedNanos < DECREASE_INTERVAL_NANOS) {
      return this;
    }
    return new ConcurrencyLimit(Math.max(1, value * DECREASE_FACTOR), nominal, nowNanos);
  }

  /** Returns the limit of an endpoint that says it runs another amount at once. */
  public ConcurrencyLimit withNominal(int changed) {
    return Math.max(1, changed) == nominal ? this : initial(changed);
  }
}
