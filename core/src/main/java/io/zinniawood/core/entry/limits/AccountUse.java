package io.zinniawood.core.entry.limits;

/**
 * Use that a client account makes of one entry: a token bucket for the rate and a count of open
 * requests.
 *
 * @param tokens requests that may come at once at the time of the last refill
 * @param refilledNanos monotonic time of the last refill in nanoseconds
 * @param open open requests
 */
public record AccountUse(double tokens, long refilledNanos, int open) {
  /** Returns the use of an account that has not been seen before. */
  public static AccountUse fresh(double burst, long nowNanos) {
    return new AccountUse(burst, nowNanos, 0);
  }

  /** Returns this use with the bucket refilled up to the given time. */
  public AccountUse refilled(double requestsPerSecond, double burst, long nowNanos) {
    double gained = Math.max(0, nowNanos - refilledNanos) * requestsPerSecond / 1e9;
    return new AccountUse(Math.min(burst, tokens + gained), nowNanos, open);
  }

  /** Returns this use with one more open request. */
  public AccountUse opened() {
    return new AccountUse(tokens - 1, refilledNanos, open + 1);
  }

  /** Returns this use with one open request less. */
  public AccountUse closed() {
    return new AccountUse(tokens, refilledNanos, Math.max(0, open - 1));
  }
}
