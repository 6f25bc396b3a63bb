package io.zinniawood.core.entry.limits;

/**
 * Usage of one entry by a client account: a token bucket for the request rate and the number of
 * open requests.
 *
 * @param bucketTokens tokens in the bucket at the time of the last refill; a request takes one
 * @param refilledNanos monotonic time of the last refill in nanoseconds
 * @param openRequests number of open requests
 */
public record AccountUsage(double bucketTokens, long refilledNanos, int openRequests) {
  /** Returns the usage of a new account, with a full bucket. */
  public static AccountUsage initial(double burst, long nowNanos) {
    return new AccountUsage(burst, nowNanos, 0);
  }

  /** Returns this usage with the bucket refilled up to the given time. */
  public AccountUsage refilled(double requestsPerSecond, double burst, long nowNanos) {
    double gained = Math.max(0, nowNanos - refilledNanos) * requestsPerSecond / 1e9;
    return new AccountUsage(Math.min(burst, bucketTokens + gained), nowNanos, openRequests);
  }

  /** Returns this usage with one more open request, which takes one bucket token. */
  public AccountUsage withOpenedRequest() {
    return new AccountUsage(bucketTokens - 1, refilledNanos, openRequests + 1);
  }

  /** Returns this usage with one open request fewer. */
  public AccountUsage withClosedRequest() {
    return new AccountUsage(bucketTokens, refilledNanos, Math.max(0, openRequests - 1));
  }
}
