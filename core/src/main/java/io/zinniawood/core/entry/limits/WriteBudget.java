package io.zinniawood.core.entry.limits;

/**
 * Budget of table writes for each second.
 *
 * @param windowStartNanos monotonic start of the present second in nanoseconds
 * @param writes writes in the present second
 */
public record WriteBudget(long windowStartNanos, int writes) {
  private static final long WINDOW_NANOS = 1_000_000_000L;

  /** Returns the budget of an entry that has just started. */
  public static WriteBudget initial() {
    return new WriteBudget(0, 0);
  }

  /** Tells whether one more write is within the budget. */
  public boolean allows(int writesPerSecond, long nowNanos) {
    return rolledTo(nowNanos).writes < writesPerSecond;
  }

  /** Returns the budget after one more write. */
  public WriteBudget withWrite(long nowNanos) {
    WriteBudget moved = rolledTo(nowNanos);
    return new WriteBudget(moved.windowStartNanos, moved.writes + 1);
  }

  private WriteBudget rolledTo(long nowNanos) {
    long elapsedNanos = nowNanos - windowStartNanos;
    // A monotonic clock may start below 0, before the start of the fresh window.
    boolean present = elapsedNanos >= 0 && elapsedNanos < WINDOW_NANOS;
    return present ? this : new WriteBudget(nowNanos, 0);
  }
}
