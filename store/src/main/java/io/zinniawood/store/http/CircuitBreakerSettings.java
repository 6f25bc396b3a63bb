package io.zinniawood.store.http;

/**
 * Settings of the circuit breaker of each platform service.
 *
 * @param failureThreshold number of consecutive failures that opens the circuit breaker
 * @param initialProbeDelayMillis mean delay of the first probe in milliseconds
 * @param maxProbeDelayMillis largest mean delay of a probe in milliseconds; the mean doubles with
 *     each failed probe
 */
public record CircuitBreakerSettings(
    int failureThreshold, long initialProbeDelayMillis, long maxProbeDelayMillis) {
  /** Checks the ranges of the values. */
  public CircuitBreakerSettings {
    if (failureThreshold < 1
        || initialProbeDelayMillis < 1
        || maxProbeDelayMillis < initialProbeDelayMillis) {
      throw new IllegalArgumentException(
          "circuit breaker settings need failureThreshold >= 1 and"
              + " 1 <= initialProbeDelayMillis <= maxProbeDelayMillis");
    }
  }

  /**
   * Returns the defaults: 5 failures and a mean probe delay of 100 ms to 1 s. Of the recovery
   * target of 3 s, this leaves 2 s.
   */
  public static CircuitBreakerSettings defaults() {
    return new CircuitBreakerSettings(5, 100, 1_000);
  }
}
