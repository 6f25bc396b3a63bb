package io.zinniawood.load;

/**
 * Latency limits of a request.
 *
 * @param firstTokenMillis longest time to the first token in milliseconds
 * @param tokenGapMillis longest time between tokens in milliseconds
 * @param tokenGapShare share of the gaps of an answer that must keep the limit
 */
public record LatencyLimits(long firstTokenMillis, long tokenGapMillis, double tokenGapShare) {
  /** Returns the limits of the design size. */
  public static LatencyLimits forDesignSize() {
    return new LatencyLimits(1_300, 73, 0.95);
  }
}
