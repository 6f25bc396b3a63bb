package io.zinniawood.engine.http;

import io.zinniawood.http.HttpCallSettings;

/**
 * Settings of the HTTP adapters of engines and plain services.
 *
 * @param connectTimeoutMillis time to connect in milliseconds
 * @param runTimeoutMillis time of a batch of steps, of a cache export and of a cache import in
 *     milliseconds
 * @param controlTimeoutMillis time of a status, close or health call in milliseconds
 * @param orderTimeoutMillis time of an order in milliseconds; loads of weights take long
 * @param maxResponseBytes most bytes of a response body; a longer one is an error
 * @param maxConcurrentCalls most calls in progress; a further call waits for at most its timeout
 *     before it is sent
 */
public record HttpEngineSettings(
    long connectTimeoutMillis,
    long runTimeoutMillis,
    long controlTimeoutMillis,
    long orderTimeoutMillis,
    int maxResponseBytes,
    int maxConcurrentCalls) {
  /** Checks that all values are positive. */
  public HttpEngineSettings {
    if (connectTimeoutMillis < 1
        || runTimeoutMillis < 1
        || controlTimeoutMillis < 1
        || orderTimeoutMillis < 1
        || maxResponseBytes < 1
        || maxConcurrentCalls < 1) {
      throw new IllegalArgumentException("all engine settings must be at least 1");
    }
  }

  HttpCallSettings callSettings() {
    return new HttpCallSettings(connectTimeoutMillis, maxResponseBytes, maxConcurrentCalls);
  }

  /**
   * Returns the defaults: 500 ms to connect, 30 s for a batch, 1 s for a status, 120 s for an
   * order, 64 MiB per response, 64 calls.
   */
  public static HttpEngineSettings defaults() {
    return new HttpEngineSettings(500, 30_000, 1_000, 120_000, 64 << 20, 64);
  }
}
