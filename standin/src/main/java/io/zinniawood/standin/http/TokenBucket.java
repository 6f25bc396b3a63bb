package io.zinniawood.standin.http;

/** Token-bucket rate limiter; callers pass the time of a monotonic clock in nanoseconds. */
public final class TokenBucket {
  private final double perSecond;
  private final double burst;
  private double tokens;
  private long lastNanos;

  /**
   * Creates a full bucket.
   *
   * @param perSecond tokens per second; 0 or less for no limit
   * @param burst capacity in tokens; values below 1 count as 1
   * @param nowNanos current time in nanoseconds
   */
  public TokenBucket(double perSecond, double burst, long nowNanos) {
    this.perSecond = perSecond;
    this.burst = Math.max(1, burst);
    this.tokens = this.burst;
    this.lastNanos = nowNanos;
  }

  /** Takes a token and returns 0, or returns the time in milliseconds until one is available. */
  public synchronized long takeOrWaitMillis(long nowNanos) {
    if (perSecond <= 0) {
      return 0;
    }
    tokens = Math.min(burst, tokens + (nowNanos - lastNanos) * perSecond / 1e9);
    lastNanos = nowNanos;
    if (tokens >= 1) {
      tokens -= 1;
      return 0;
    }
    return Math.max(1, (long) Math.ceil((1 - tokens) * 1_000 / perSecond));
  }
}
