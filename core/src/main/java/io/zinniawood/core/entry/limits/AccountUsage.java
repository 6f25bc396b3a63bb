package io.zinniawood.core.entry.limits;

/**
 * Use that a client account makes of one entry: a token bucket for the rate and a count of open
 * requests.
 *
 * @param bucketTokens requests that may come at once at the time of the last refill
 * @param refilledNanos monotonic time of the last refill in nanoseconds
 * @param openRequests open requests
 */
public record AccountUsage(double bucketTokens, long refilledNanos, int openRequests) {
  /** Returns the use of an account that has not been seen before. */
  public static AccountUsage initial(double burst, long nowNanos) {
    return new AccountUsage(burst, nowNanos, 0);
  }

  /** Returns this use with the bucket refilled up to the given time. */
  public AccountUsage refilled(double requestsPerSecond, double burst, long nowNanos) {
    double gained = Math.max(0, nowNanos - refilledNanos) * requestsPerSecond / 1e9;
    return new AccountUsage(Math.min(burst, bucketTokens + gained), nowNanos, openRequests);
  }

  /** Returns this use with one more open request. */
  public AccountUsage withOpenedRequest() {
    return new AccountUsage(bucketTokens - 1, refilledNanos, openRequests + 1);
  }

  /** Returns this use with one open request less. */
  public AccountUsage withClosedRequest() {
    return new AccountUsage(bucketTokens, refilledNanos, Math.max(0, openRequests - 1));
  }
}
