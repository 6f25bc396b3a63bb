package io.zinniawood.core.entry.limits;

/**
 * Estimate of the time that a request to one model or service takes at present.
 *
 * @param meanNanos exponentially weighted mean of the last durations in nanoseconds
 * @param sampleCount samples so far, up to the number that makes the mean steady
 * @param lastSampleNanos monotonic time of the last sample in nanoseconds
 */
public record LatencyEstimate(double meanNanos, int sampleCount, long lastSampleNanos) {
  private static final double MIN_SAMPLE_WEIGHT = 0.1;
  private static final int MIN_SAMPLES = 10;

  /**
   * Without samples the estimate halves in this time. If it did not, a target whose requests are
   * all refused would get no new sample and would refuse for ever.
   */
  private static final double HALF_LIFE_NANOS = 1e9;

  /** Returns the estimate without samples. */
  public static LatencyEstimate empty() {
    return new LatencyEstimate(0, 0, 0);
  }

  /** Returns the estimate after one more sample. */
  public LatencyEstimate withSample(long durationNanos, long nowNanos) {
    double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / (sampleCount + 1));
    double mean = meanNanos + weight * (durationNanos - meanNanos);
    return new LatencyEstimate(mean, Math.min(MIN_SAMPLES, sampleCount + 1), nowNanos);
  }

  /** Returns the expected duration in nanoseconds, 0 as long as the estimate is not steady. */
  public double expectedNanos(long nowNanos) {
    if (sampleCount < MIN_SAMPLES) {
      return 0;
    }
    return meanNanos * Math.pow(0.5, Math.max(0, nowNanos - lastSampleNanos) / HALF_LIFE_NANOS);
  }
}
