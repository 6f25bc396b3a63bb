package io.zinniawood.core.entry.membership;

/**
 * Recent failures of an endpoint.
 *
 * @param consecutiveFailures number of failures since the last success or ejection
 * @param consecutiveEjections number of consecutive ejections, from which the length of the next
 *     one follows
 * @param ejectedUntilNanos monotonic time until which the endpoint is ejected, in nanoseconds; it
 *     is only meaningful if there were ejections
 */
public record Health(int consecutiveFailures, int consecutiveEjections, long ejectedUntilNanos) {
  /** Health of an endpoint without failures. */
  public static final Health GOOD = new Health(0, 0, 0);

  /** Three consecutive failures are unlikely to be chance and affect few requests. */
  public static final int FAILURES_BEFORE_EJECTION = 3;

  private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;
  private static final int MAX_EJECTION_DOUBLINGS = 5;

  /** Tells whether the endpoint is ejected at the given time. */
  public boolean ejected(long nowNanos) {
    return consecutiveEjections > 0 && nowNanos - ejectedUntilNanos < 0;
  }

  /** Returns the health after one more failure. */
  public Health withFailure() {
    return new Health(consecutiveFailures + 1, consecutiveEjections, ejectedUntilNanos);
  }

  /**
   * Returns the health of an endpoint that is ejected from the given time. Each consecutive
   * ejection lasts twice as long as the one before, up to a maximum.
   */
  public Health ejectedFrom(long nowNanos) {
    long lengthNanos =
        FIRST_EJECTION_NANOS << Math.min(consecutiveEjections, MAX_EJECTION_DOUBLINGS);
    return new Health(0, consecutiveEjections + 1, nowNanos + lengthNanos);
  }
}
