package io.zinniawood.store.http;

/**
 * Settings of the HTTP adapter.
 *
 * @param connectTimeoutMillis time to connect in milliseconds
 * @param callTimeoutMillis time of a whole call in milliseconds
 * @param maxResponseBytes most bytes of a response body; a longer one is an error
 * @param maxConcurrentCalls most calls in progress; a further call waits for at most its timeout
 *     before it is sent
 * @param circuitBreaker settings of the circuit of each service
 */
public record HttpPlatformSettings(
    long connectTimeoutMillis,
    long callTimeoutMillis,
    int maxResponseBytes,
    int maxConcurrentCalls,
    CircuitBreakerSettings circuitBreaker) {
  /** Checks that all values are positive. */
  public HttpPlatformSettings {
    if (connectTimeoutMillis < 1
        || callTimeoutMillis < 1
        || maxResponseBytes < 1
        || maxConcurrentCalls < 1) {
      throw new IllegalArgumentException("all platform settings must be at least 1");
    }
  }

  /** Returns the defaults: 500 ms to connect, 2 s per call, 8 MiB per response, 32 calls. */
  public static HttpPlatformSettings defaults() {
    return new HttpPlatformSettings(500, 2_000, 8 << 20, 32, CircuitBreakerSettings.defaults());
  }
}
