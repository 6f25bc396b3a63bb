package io.zinniawood.store.http;

/**
 * Settings of the HTTP clients of the platform services.
 *
 * @param connectTimeoutMillis connect timeout in milliseconds
 * @param callTimeoutMillis timeout of a whole call in milliseconds
 * @param maxResponseBytes largest accepted response body in bytes; a larger one is an error
 * @param maxConcurrentCalls maximum number of calls in progress; further calls are queued, each for
 *     at most its timeout
 * @param circuitBreaker settings of the circuit breaker of each service
 */
public record HttpPlatformSettings(
    long connectTimeoutMillis,
    long callTimeoutMillis,
    int maxResponseBytes,
    int maxConcurrentCalls,
    CircuitBreakerSettings circuitBreaker) {
  /** Checks that all numbers are at least 1. */
  public HttpPlatformSettings {
    if (connectTimeoutMillis < 1
        || callTimeoutMillis < 1
        || maxResponseBytes < 1
        || maxConcurrentCalls < 1) {
      throw new IllegalArgumentException(
          "connectTimeoutMillis, callTimeoutMillis, maxResponseBytes and maxConcurrentCalls must be"
              + " at least 1");
    }
  }

  /**
   * Returns the defaults: 500 ms to connect, 2 s per call, 8 MiB per response and 32 concurrent
   * calls.
   */
  public static HttpPlatformSettings defaults() {
    return new HttpPlatformSettings(500, 2_000, 8 << 20, 32, CircuitBreakerSettings.defaults());
  }
}
