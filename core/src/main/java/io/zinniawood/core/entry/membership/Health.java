package io.zinniawood.core.entry.membership;

/**
 * Recent failures of an endpoint.
 *
 * @param failures failures in a row
 * @param ejectedUntilNanos monotonic time until which the endpoint is ejected, in nanoseconds; 0 if
 *     it is not ejected
 */
public record Health(int failures, long ejectedUntilNanos) {
  /** Health of an endpoint without failures. */
  public static final Health GOOD = new Health(0, 0);

  /** Tells whether the endpoint is ejected at the given time. */
  public boolean ejected(long nowNanos) {
    return ejectedUntilNanos != 0 && nowNanos - ejectedUntilNanos < 0;
  }
}
