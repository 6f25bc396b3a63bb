package io.zinniawood.core.entry.limits;

/**
 * Estimate of the time that a request to one model or service takes at present.
 *
 * @param meanNanos exponentially weighted mean of the last durations in nanoseconds
 * @param samples samples so far, up to the number that makes the mean steady
 * @param sampledNanos monotonic time of the last sample in nanoseconds
 */
public record LatencyEstimate(double meanNanos, int samples, long sampledNanos) {
  private static final double WEIGHT = 0.1;
  private static final int STEADY_SAMPLES = 10;

  /**
   * Without samples the estimate halves in this time. If it did not, a target whose requests are
   * all refused would get no new sample and would refuse for ever.
   */
  private static final double HALF_LIFE_NANOS = 1e9;

  /** Returns the estimate without samples. */
  public static LatencyEstimate none() {
    return new LatencyEstimate(0, 0, 0);
  }

  /** Returns the estimate after one more sample. */
  public LatencyEstimate sampled(long durationNanos, long nowNanos) {
    double weight = Math.max(WEIGHT, 1.0 / (samples + 1));
    double mean = meanNanos + weight * (durationNanos - meanNanos);
    return new LatencyEstimate(mean, Math.min(STEADY_SAMPLES, samples + 1), nowNanos);
  }

  /** Returns the expected duration in nanoseconds, 0 as long as the estimate is not steady. */
  public double expectedNanos(long nowNanos) {
    if (samples < STEADY_SAMPLES) {
      return 0;
    }
    return meanNanos * Math.pow(0.5, Math.max(0, nowNanos - sampledNanos) / HALF_LIFE_NANOS);
  }
}
