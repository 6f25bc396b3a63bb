package io.zinniawood.core.model;

/**
 * Load that an agent reports; it may be out of date.
 *
 * @param running sessions or calls in progress
 * @param queued sessions or calls that wait
 * @param concurrencyLimit current adaptive limit of sessions or calls
 * @param tokensPerSecond decode throughput of the last interval, 0 for a plain service
 */
public record LoadReport(int running, int queued, int concurrencyLimit, double tokensPerSecond) {
  /** Returns the report of an idle endpoint with the given limit. */
  public static LoadReport idle(int concurrencyLimit) {
    return new LoadReport(0, 0, concurrencyLimit, 0);
  }
}
