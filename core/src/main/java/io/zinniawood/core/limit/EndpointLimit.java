package io.zinniawood.core.limit;

import java.util.concurrent.TimeUnit;

/**
 * Limit that one process start of an endpoint names. A lower value counts at once; a higher one, or
 * the end of the limit, counts gradually. Not thread-safe.
 */
public final class EndpointLimit {
  /** Time in which the rate doubles towards a higher limit. */
  private static final double DOUBLING_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time after the end of a limit from which on it has no effect. */
  private static final long RELEASE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Lower limits count as this one, so that requests remain that show when the limit ends. */
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;

  private final long startedMillis;
  private double requestsPerSecond;
  private double raisedFromPerSecond;
  private long changedNanos;
  private long evidenceNanos;
  private boolean ended;

  /** Creates the limit of a process start of an endpoint, which counts at once. */
  EndpointLimit(long startedMillis, double requestsPerSecond, long evidenceNanos, long nowNanos) {
    this.startedMillis = startedMillis;
    this.requestsPerSecond = requestsPerSecond;
    this.raisedFromPerSecond = requestsPerSecond;
    this.evidenceNanos = evidenceNanos;
    this.changedNanos = nowNanos;
  }

  /** Returns the process start of the endpoint, in Unix milliseconds. */
  public long startedMillis() {
    return startedMillis;
  }

  /** Returns the limit as the endpoint named it last, in requests a second. */
  public double requestsPerSecond() {
    return requestsPerSecond;
  }

  /** Returns whether the endpoint names no limit any more. */
  public boolean ended() {
    return ended;
  }

  /** Returns the monotonic time, in nanoseconds, of the newest answer that shows this state. */
  public long evidenceNanos() {
    return evidenceNanos;
  }

  /** Returns whether the limit has an effect. */
  public boolean bindingAt(long nowNanos) {
    return !ended || nowNanos - changedNanos < RELEASE_NANOS;
  }

  /** Returns the rate that counts at a time, in requests a second. */
  public double rateAt(long nowNanos) {
    double raised =
        Math.max(MIN_REQUESTS_PER_SECOND, raisedFromPerSecond)
            * Math.pow(2, (nowNanos - changedNanos) / DOUBLING_NANOS);
    return ended ? raised : Math.min(Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond), raised);
  }

  /** Sets the limit; returns whether its value changed. */
  boolean name(double newPerSecond, long newEvidenceNanos, long nowNanos) {
    evidenceNanos = newEvidenceNanos;
    if (!ended && newPerSecond == requestsPerSecond) {
      return false;
    }
    raisedFromPerSecond = ended ? newPerSecond : Math.min(newPerSecond, rateAt(nowNanos));
    requestsPerSecond = newPerSecond;
    changedNanos = nowNanos;
    ended = false;
    return true;
  }

  /** Ends the limit. */
  void end(long newEvidenceNanos, long nowNanos) {
    raisedFromPerSecond = rateAt(nowNanos);
    changedNanos = nowNanos;
    evidenceNanos = newEvidenceNanos;
    ended = true;
  }
}
