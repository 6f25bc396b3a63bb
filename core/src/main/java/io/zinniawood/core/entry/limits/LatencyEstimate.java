package io.zinniawood.core.entry.limits;

/**
 * Estimate of the current duration of a request to one model or service.
 *
 * @param meanNanos exponentially weighted mean of the last durations in nanoseconds
 * @param sampleCount number of samples so far, capped at the minimum for a usable estimate
 * @param lastSampleNanos monotonic time of the last sample in nanoseconds
 */
public record LatencyEstimate(double meanNanos, int sampleCount, long lastSampleNanos) {
  /** Lower bound of the weight of a new sample; the first samples weigh equally. */
  private static final double MIN_SAMPLE_WEIGHT = 0.1;

  /** Number of samples from which on the estimate is used. */
  private static final int MIN_SAMPLES = 10;

  /**
   * Time in which the estimate halves without new samples. Without this decay, a target for which
   * all requests are refused would get no new samples and its requests would be refused forever.
   */
  private static final double HALF_LIFE_NANOS = 1e9;

  /** Returns an estimate without samples. */
  public static LatencyEstimate empty() {
    return new LatencyEstimate(0, 0, 0);
  }

  /** Returns the estimate after one more sample. */
  public LatencyEstimate withSample(long durationNanos, long nowNanos) {
    double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / (sampleCount + 1));
    double mean = meanNanos + weight * (durationNanos - meanNanos);
    return new LatencyEstimate(mean, Math.min(MIN_SAMPLES, sampleCount + 1), nowNanos);
  }

  /** Returns the expected duration in nanoseconds, or 0 with too few samples. */
  public double expectedNanos(long nowNanos) {
    if (sampleCount < MIN_SAMPLES) {
      return 0;
    }
    return meanNanos * Math.pow(0.5, Math.max(0, nowNanos - lastSampleNanos) / HALF_LIFE_NANOS);
  }
}
