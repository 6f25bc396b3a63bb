package io.zinniawood.engine.http;

import io.zinniawood.http.HttpCallSettings;

/**
 * Timeouts and limits of the HTTP clients of model engines and plain services.
 *
 * @param connectTimeoutMillis connect timeout in milliseconds
 * @param runTimeoutMillis timeout of a batch of steps, a cache export or a cache import in
 *     milliseconds
 * @param controlTimeoutMillis timeout of a status, close or health call in milliseconds
 * @param orderTimeoutMillis timeout of an order in milliseconds; an order that loads weights takes
 *     long
 * @param maxResponseBytes maximum size of a response body; a larger one is an error
 * @param maxConcurrentCalls maximum number of calls in progress; further calls are queued, each for
 *     at most its timeout
 */
public record HttpEngineSettings(
    long connectTimeoutMillis,
    long runTimeoutMillis,
    long controlTimeoutMillis,
    long orderTimeoutMillis,
    int maxResponseBytes,
    int maxConcurrentCalls) {
  /** Checks that all values are at least 1. */
  public HttpEngineSettings {
    if (connectTimeoutMillis < 1
        || runTimeoutMillis < 1
        || controlTimeoutMillis < 1
        || orderTimeoutMillis < 1
        || maxResponseBytes < 1
        || maxConcurrentCalls < 1) {
      throw new IllegalArgumentException(
          "all timeouts and limits of HttpEngineSettings must be at least 1");
    }
  }

  HttpCallSettings callSettings() {
    return new HttpCallSettings(connectTimeoutMillis, maxResponseBytes, maxConcurrentCalls);
  }

  /**
   * Returns the defaults: 500 ms to connect, 30 s for a batch, 1 s for a status, 120 s for an
   * order, 64 MiB per response, 64 concurrent calls.
   */
  public static HttpEngineSettings defaults() {
    return new HttpEngineSettings(500, 30_000, 1_000, 120_000, 64 << 20, 64);
  }
}
