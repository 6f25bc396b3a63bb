package io.zinniawood.store.http;

/**
 * Settings of the circuit of each platform service.
 *
 * @param failureThreshold consecutive failures after which calls fail at once
 * @param initialProbeDelayMillis mean time until the first probe in milliseconds
 * @param maxProbeDelayMillis longest mean time between probes in milliseconds; the mean doubles
 *     with each failed probe
 */
public record CircuitBreakerSettings(
    int failureThreshold, long initialProbeDelayMillis, long maxProbeDelayMillis) {
  /** Checks the order of the values. */
  public CircuitBreakerSettings {
    if (failureThreshold < 1
        || initialProbeDelayMillis < 1
        || maxProbeDelayMillis < initialProbeDelayMillis) {
      throw new IllegalArgumentException(
          "circuit settings need failuresToOpen >= 1 and 1 <= firstPauseMillis <= maxPauseMillis");
    }
  }

  /** Returns the defaults: 5 failures, 100 ms to 1 s, which leaves 2 s of the 3 s to recover. */
  public static CircuitBreakerSettings defaults() {
    return new CircuitBreakerSettings(5, 100, 1_000);
  }
}
