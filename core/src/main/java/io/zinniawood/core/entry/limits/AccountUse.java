package io.zinniawood.core.entry.limits;

/**
 * Use that a client account makes of one entry: a token bucket for the rate and a count of open
 * requests.
 *
 * @param tokens requests that may come at once at the time of the last refill
 * @param refilledNanos monotonic time of the last refill in nanoseconds
 * @param open open requests
 * @param reportedNanos monotonic time of the last incident about the limit in nanoseconds
 */
public record AccountUse(double tokens, long refilledNanos, int open, long reportedNanos) {
  /** One incident per account and interval; each refusal is counted in the results anyway. */
  private static final long REPORT_INTERVAL_NANOS = 60_000_000_000L;

  /** Returns the use of an account that has not been seen before. */
  public static AccountUse fresh(double burst, long nowNanos) {
    return new AccountUse(burst, nowNanos, 0, nowNanos - REPORT_INTERVAL_NANOS);
  }

  /** Returns this use with the bucket refilled up to the given time. */
  public AccountUse refilled(double requestsPerSecond, double burst, long nowNanos) {
    double gained = Math.max(0, nowNanos - refilledNanos) * requestsPerSecond / 1e9;
    return new AccountUse(Math.min(burst, tokens + gained), nowNanos, open, reportedNanos);
  }

  /** Returns this use with one more open request. */
  public AccountUse opened() {
    return new AccountUse(tokens - 1, refilledNanos, open + 1, reportedNanos);
  }

  /** Returns this use with one open request less. */
  public AccountUse closed() {
    return new AccountUse(tokens, refilledNanos, Math.max(0, open - 1), reportedNanos);
  }

  /** Tells whether an incident about the limit is due. */
  public boolean reportDue(long nowNanos) {
    return nowNanos - reportedNanos >= REPORT_INTERVAL_NANOS;
  }

  /** Returns this use after an incident about the limit. */
  public AccountUse reported(long nowNanos) {
    return new AccountUse(tokens, refilledNanos, open, nowNanos);
  }
}
