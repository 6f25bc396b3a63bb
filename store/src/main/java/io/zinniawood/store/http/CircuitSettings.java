package io.zinniawood.store.http;

/**
 * Settings of the circuit of each platform service.
 *
 * @param failuresToOpen consecutive failures after which calls fail at once
 * @param firstPauseMillis mean time until the first probe in milliseconds
 * @param maxPauseMillis longest mean time between probes in milliseconds; the mean doubles with
 *     each failed probe
 */
public record CircuitSettings(int failuresToOpen, long firstPauseMillis, long maxPauseMillis) {
  /** Checks the order of the values. */
  public CircuitSettings {
    if (failuresToOpen < 1 || firstPauseMillis < 1 || maxPauseMillis < firstPauseMillis) {
      throw new IllegalArgumentException(
          "circuit settings need failuresToOpen >= 1 and 1 <= firstPauseMillis <= maxPauseMillis");
    }
  }

  /** Returns the defaults: 5 failures, 100 ms to 1 s, which leaves 2 s of the 3 s to recover. */
  public static CircuitSettings defaults() {
    return new CircuitSettings(5, 100, 1_000);
  }
}
