package io.zinniawood.core.entry.membership;

/**
 * Recent failures of an endpoint.
 *
 * @param failures failures in a row
 * @param ejections ejections in a row, for the growth of their length
 * @param ejectedUntilNanos monotonic time until which the endpoint is ejected, in nanoseconds; it
 *     is only meaningful if there were ejections
 */
public record Health(int failures, int ejections, long ejectedUntilNanos) {
  /** Health of an endpoint without failures. */
  public static final Health GOOD = new Health(0, 0, 0);

  /** Three failures in a row are unlikely to be chance, and cost few requests. */
  public static final int EJECT_AFTER = 3;

  private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;
  private static final int MAX_DOUBLINGS = 5;

  /** Tells whether the endpoint is ejected at the given time. */
  public boolean ejected(long nowNanos) {
    return ejections > 0 && nowNanos - ejectedUntilNanos < 0;
  }

  /** Returns the health after one more failure. */
  public Health failed() {
    return new Health(failures + 1, ejections, ejectedUntilNanos);
  }

  /** Returns the health of an endpoint that is ejected from now on; each time twice as long. */
  public Health eject(long nowNanos) {
    long lengthNanos = FIRST_EJECTION_NANOS << Math.min(ejections, MAX_DOUBLINGS);
    return new Health(0, ejections + 1, nowNanos + lengthNanos);
  }
}
