package io.zinniawood.core.route;

/**
 * Limits of what a caller may send.
 *
 * @param maxHeaderBytes longest request head in bytes
 * @param maxBodyBytes longest request body in bytes
 * @param headerTimeoutMillis longest time to send a request head, in milliseconds
 * @param idleTimeoutMillis longest time that a connection may be idle, in milliseconds
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Limits before any configuration is known. */
  public static final RequestLimits DEFAULT = new RequestLimits(16_384, 1_048_576, 5_000, 30_000);
}
