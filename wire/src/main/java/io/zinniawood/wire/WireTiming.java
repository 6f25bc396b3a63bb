package io.zinniawood.wire;

/**
 * Timeouts and probe intervals of the wire protocol.
 *
 * @param connectTimeoutMillis timeout of opening a TCP connection, in milliseconds
 * @param handshakeTimeoutMillis timeout of the handshake, in milliseconds
 * @param activeProbeIntervalMillis time without received data after which an active connection is
 *     probed, in milliseconds
 * @param ackTimeoutMillis time within which a probe must be acknowledged, in milliseconds
 * @param activeWindowMillis time after the last message during which a connection is active, in
 *     milliseconds
 * @param idleProbeIntervalMillis shortest interval of probes on an idle connection, in milliseconds
 */
public record WireTiming(
    long connectTimeoutMillis,
    long handshakeTimeoutMillis,
    long activeProbeIntervalMillis,
    long ackTimeoutMillis,
    long activeWindowMillis,
    long idleProbeIntervalMillis) {
  /** Checks that all values are positive. */
  public WireTiming {
    if (connectTimeoutMillis <= 0
        || handshakeTimeoutMillis <= 0
        || activeProbeIntervalMillis <= 0
        || ackTimeoutMillis <= 0
        || activeWindowMillis <= 0
        || idleProbeIntervalMillis <= 0) {
      throw new IllegalArgumentException("all wire timeouts and intervals must be positive");
    }
  }

  /**
   * Returns the defaults. An active connection that stops responding is detected within 700 ms. Of
   * the recovery target of 1.3 s, this leaves 600 ms to open a new connection and repeat the step.
   */
  public static WireTiming defaults() {
    return new WireTiming(1_000, 2_000, 300, 400, 10_000, 15_000);
  }
}
