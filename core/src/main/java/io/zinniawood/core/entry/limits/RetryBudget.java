package io.zinniawood.core.entry.limits;

/**
 * Retry budget: limits retries to a share of the requests in the current and the previous window,
 * so that retries cannot multiply an overload.
 *
 * @param windowStartNanos monotonic start time of the current window in nanoseconds
 * @param requests requests in the current window
 * @param previousRequests requests in the previous window
 * @param retries retries in the current window
 * @param previousRetries retries in the previous window
 */
public record RetryBudget(
    long windowStartNanos, int requests, int previousRequests, int retries, int previousRetries) {
  private static final long WINDOW_NANOS = 5_000_000_000L;

  /** Returns the budget of an entry that has just started. */
  public static RetryBudget initial() {
    return new RetryBudget(0, 0, 0, 0, 0);
  }

  /** Returns the budget after one more request. */
  public RetryBudget withRequest(long nowNanos) {
    RetryBudget current = rolledTo(nowNanos);
    return new RetryBudget(
        current.windowStartNanos,
        current.requests + 1,
        current.previousRequests,
        current.retries,
        current.previousRetries);
  }

  /**
   * Returns whether one more retry is within the budget.
   *
   * @param share retries per request
   * @param minimum retries that are allowed regardless of the number of requests
   */
  public boolean allows(double share, int minimum, long nowNanos) {
    RetryBudget current = rolledTo(nowNanos);
    return current.retries + current.previousRetries
        < minimum + share * (current.requests + current.previousRequests);
  }

  /** Returns the budget after one more retry. */
  public RetryBudget withRetry(long nowNanos) {
    RetryBudget current = rolledTo(nowNanos);
    return new RetryBudget(
        current.windowStartNanos,
        current.requests,
        current.previousRequests,
        current.retries + 1,
        current.previousRetries);
  }

  private RetryBudget rolledTo(long nowNanos) {
    long elapsed = nowNanos - windowStartNanos;
    if (elapsed < WINDOW_NANOS) {
      return this;
    }
    boolean adjacent = elapsed < 2 * WINDOW_NANOS;
    return new RetryBudget(nowNanos, 0, adjacent ? requests : 0, 0, adjacent ? retries : 0);
  }
}
