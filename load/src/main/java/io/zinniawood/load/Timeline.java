package io.zinniawood.load;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Counts tokens and completed requests per interval of a run, which shows the recovery from faults.
 * Thread-safe.
 */
public final class Timeline {
  private final long startNanos;
  private final long intervalMillis;
  private final AtomicLongArray tokens;
  private final AtomicLongArray completed;

  /**
   * Creates a timeline.
   *
   * @param startNanos monotonic start time in nanoseconds
   * @param intervalMillis length of an interval in milliseconds
   * @param spanMillis length of the run in milliseconds; later events count in the last interval
   */
  public Timeline(long startNanos, long intervalMillis, long spanMillis) {
    this.startNanos = startNanos;
    this.intervalMillis = intervalMillis;
    int intervals = (int) (spanMillis / intervalMillis) + 1;
    this.tokens = new AtomicLongArray(intervals);
    this.completed = new AtomicLongArray(intervals);
  }

  void countToken(long nowNanos) {
    tokens.incrementAndGet(intervalIndex(nowNanos));
  }

  void countCompleted(long nowNanos) {
    completed.incrementAndGet(intervalIndex(nowNanos));
  }

  private int intervalIndex(long nowNanos) {
    long interval = (nowNanos - startNanos) / 1_000_000 / intervalMillis;
    return (int) Math.max(0, Math.min(tokens.length() - 1L, interval));
  }

  /** Returns the counts so far. */
  public Series series() {
    long[] tokenCounts = new long[tokens.length()];
    long[] completedCounts = new long[tokens.length()];
    for (int i = 0; i < tokenCounts.length; i++) {
      tokenCounts[i] = tokens.get(i);
      completedCounts[i] = completed.get(i);
    }
    return new Series(intervalMillis, tokenCounts, completedCounts);
  }

  /**
   * Counts per interval of a run.
   *
   * @param intervalMillis length of an interval in milliseconds
   * @param tokens number of tokens per interval
   * @param completed number of completed requests per interval
   */
  public record Series(long intervalMillis, long[] tokens, long[] completed) {}
}
