package io.zinniawood.core.entry.limits;

/**
 * Limit on table writes per second.
 *
 * @param windowStartNanos monotonic start time of the current one-second window in nanoseconds
 * @param writes writes in the current window
 */
public record WriteBudget(long windowStartNanos, int writes) {
  private static final long WINDOW_NANOS = 1_000_000_000L;

  /** Returns the budget of an entry that has just started. */
  public static WriteBudget initial() {
    return new WriteBudget(0, 0);
  }

  /** Returns whether one more write is within the budget. */
  public boolean allows(int writesPerSecond, long nowNanos) {
    return rolledTo(nowNanos).writes < writesPerSecond;
  }

  /** Returns the budget after one more write. */
  public WriteBudget withWrite(long nowNanos) {
    WriteBudget current = rolledTo(nowNanos);
    return new WriteBudget(current.windowStartNanos, current.writes + 1);
  }

  private WriteBudget rolledTo(long nowNanos) {
    long elapsedNanos = nowNanos - windowStartNanos;
    // The monotonic clock may be negative, so it may lie before the initial window start of 0.
    boolean inCurrentWindow = elapsedNanos >= 0 && elapsedNanos < WINDOW_NANOS;
    return inCurrentWindow ? this : new WriteBudget(nowNanos, 0);
  }
}
