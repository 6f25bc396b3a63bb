package io.zinniawood.core.entry.limits;

/** Exponential backoff with jitter. */
public final class Backoff {
  /** Maximum number of times that the base delay is doubled. */
  private static final int MAX_DOUBLINGS = 20;

  private Backoff() {}

  /**
   * Returns the delay in nanoseconds before the next attempt: a random value between half and all
   * of the doubled base delay.
   *
   * @param failures number of failed attempts, at least 1
   * @param baseMillis delay after the first failure in milliseconds
   * @param maxMillis maximum delay in milliseconds
   * @param random random number in [0, 1)
   */
  public static long delayNanos(int failures, long baseMillis, long maxMillis, double random) {
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
    double fullMillis = Math.min((double) maxMillis, Math.scalb((double) baseMillis, doublings));
    return (long) (fullMillis * (0.5 + random / 2) * 1e6);
  }
}
