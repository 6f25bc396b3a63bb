package io.zinniawood.core.entry.limits;

/** Exponential delays with jitter. */
public final class Backoff {
  private static final int MAX_DOUBLINGS = 20;

  private Backoff() {}

  /**
   * Returns the delay before a try in nanoseconds, between half and all of the doubled base.
   *
   * @param failures tries that failed, at least 1
   * @param baseMillis delay after the first failure in milliseconds
   * @param maxMillis longest delay in milliseconds
   * @param unit random number in [0, 1)
   */
  public static long delayNanos(int failures, long baseMillis, long maxMillis, double unit) {
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
    double full = Math.min((double) maxMillis, Math.scalb((double) baseMillis, doublings));
    return (long) (full * (0.5 + unit / 2) * 1e6);
  }
}
