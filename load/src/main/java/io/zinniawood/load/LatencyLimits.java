package io.zinniawood.load;

/**
 * Latency limits of a response.
 *
 * @param firstTokenMillis longest time to the first token, in milliseconds
 * @param tokenGapMillis longest gap between tokens, in milliseconds
 * @param tokenGapShare share of the gaps of a response that must be within the limit, from 0 to 1
 */
public record LatencyLimits(long firstTokenMillis, long tokenGapMillis, double tokenGapShare) {
  /** Returns the limits that apply to a system of the design size. */
  public static LatencyLimits forDesignSize() {
    return new LatencyLimits(1_300, 73, 0.95);
  }
}
