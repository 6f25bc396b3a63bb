package io.zinniawood.core.entry.limits;

/**
 * Budget of retries: a share of the requests of the present and the previous window, so that
 * retries cannot multiply an overload.
 *
 * @param windowStartNanos monotonic start of the present window in nanoseconds
 * @param requests requests in the present window
 * @param earlierRequests requests in the previous window
 * @param retries retries in the present window
 * @param earlierRetries retries in the previous window
 */
public record RetryBudget(
    long windowStartNanos, int requests, int earlierRequests, int retries, int earlierRetries) {
  private static final long WINDOW_NANOS = 5_000_000_000L;

  /** Returns the budget of an entry that has just started. */
  public static RetryBudget fresh() {
    return new RetryBudget(0, 0, 0, 0, 0);
  }

  /** Returns the budget after one more request. */
  public RetryBudget requested(long nowNanos) {
    RetryBudget moved = at(nowNanos);
    return new RetryBudget(
        moved.windowStartNanos,
        moved.requests + 1,
        moved.earlierRequests,
        moved.retries,
        moved.earlierRetries);
  }

  /** Tells whether one more retry is within the budget. */
  public boolean allows(double share, int minimum, long nowNanos) {
    RetryBudget moved = at(nowNanos);
    return moved.retries + moved.earlierRetries
        < minimum + share * (moved.requests + moved.earlierRequests);
  }

  /** Returns the budget after one more retry. */
  public RetryBudget retried(long nowNanos) {
    RetryBudget moved = at(nowNanos);
    return new RetryBudget(
        moved.windowStartNanos,
        moved.requests,
        moved.earlierRequests,
        moved.retries + 1,
        moved.earlierRetries);
  }

  private RetryBudget at(long nowNanos) {
    long elapsed = nowNanos - windowStartNanos;
    if (elapsed < WINDOW_NANOS) {
      return this;
    }
    boolean adjacent = elapsed < 2 * WINDOW_NANOS;
    return new RetryBudget(nowNanos, 0, adjacent ? requests : 0, 0, adjacent ? retries : 0);
  }
}
