package io.zinniawood.wire;

/**
 * Times of the wire protocol.
 *
 * @param connectTimeoutMillis time to open a TCP connection, in milliseconds
 * @param handshakeTimeoutMillis time to complete the handshake, in milliseconds
 * @param activeProbeIntervalMillis silence after which a connection in use is probed, in
 *     milliseconds
 * @param ackTimeoutMillis time within which a probe must be acknowledged, in milliseconds
 * @param activeWindowMillis time since the last message for which a connection counts as in use
 * @param idleProbeIntervalMillis shortest interval of probes on an unused connection, in
 *     milliseconds
 */
public record WireTiming(
    long connectTimeoutMillis,
    long handshakeTimeoutMillis,
    long activeProbeIntervalMillis,
    long ackTimeoutMillis,
    long activeWindowMillis,
    long idleProbeIntervalMillis) {
  /** Checks that all times are positive. */
  public WireTiming {
    if (connectTimeoutMillis <= 0
        || handshakeTimeoutMillis <= 0
        || activeProbeIntervalMillis <= 0
        || ackTimeoutMillis <= 0
        || activeWindowMillis <= 0
        || idleProbeIntervalMillis <= 0) {
      throw new IllegalArgumentException("all times must be positive");
    }
  }

  /**
   * Returns the default times. A connection in use that goes silent is detected within 700 ms,
   * which leaves 600 ms of the recovery target of 1.3 s for a new connection and the repeated step.
   */
  public static WireTiming defaults() {
    return new WireTiming(1_000, 2_000, 300, 400, 10_000, 15_000);
  }
}
