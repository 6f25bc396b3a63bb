package io.zinniawood.core.entry.limits;

/**
 * Budget of retries: a share of the requests of the present and the previous window, so that
 * retries cannot multiply an overload.
 *
 * @param windowStartNanos monotonic start of the present window in nanoseconds
 * @param requests requests in the present window
 * @param previousRequests requests in the previous window
 * @param retries retries in the present window
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
    RetryBudget moved = rolledTo(nowNanos);
    return new RetryBudget(
        moved.windowStartNanos,
        moved.requests + 1,
        moved.previousRequests,
        moved.retries,
        moved.previousRetries);
  }

  /** Tells whether one more retry is within the budget. */
  public boolean allows(double share, int minimum, long nowNanos) {
    RetryBudget moved = rolledTo(nowNanos);
    return moved.retries + moved.previousRetries
        < minimum + share * (moved.requests + moved.previousRequests);
  }

  /** Returns the budget after one more retry. */
  public RetryBudget withRetry(long nowNanos) {
    RetryBudget moved = rolledTo(nowNanos);
    return new RetryBudget(
        moved.windowStartNanos,
        moved.requests,
        moved.previousRequests,
        moved.retries + 1,
        moved.previousRetries);
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
