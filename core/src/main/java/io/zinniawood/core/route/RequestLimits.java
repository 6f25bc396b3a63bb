package io.zinniawood.core.route;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of a request head in bytes
 * @param maxBodyBytes maximum size of a request body in bytes
 * @param headerTimeoutMillis maximum time to receive a request head in milliseconds
 * @param idleTimeoutMillis maximum time that a connection may be idle in milliseconds
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Limits that apply until a configuration is loaded. */
  public static final RequestLimits DEFAULT = new RequestLimits(16_384, 1_048_576, 5_000, 30_000);
}
