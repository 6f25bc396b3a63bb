package io.zinniawood.telemetry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.logging.Filter;
import java.util.logging.LogRecord;

/**
 * Drops log records that repeat too often in an interval. Records with the same logger, level and
 * unformatted message are repeats. The first record after the interval states how many were
 * dropped.
 */
public final class RepeatLimiter implements Filter {
  /** Limits the memory for counters; the least recently used one is evicted. */
  private static final int MAX_MESSAGES = 1_024;

  private final int maxPerInterval;
  private final long intervalNanos;
  private final LongSupplier clockNanos;
  private final Map<MessageKey, RepeatCount> counts =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<MessageKey, RepeatCount> eldest) {
          return size() > MAX_MESSAGES;
        }
      };

  private record MessageKey(String logger, int level, String message) {}

  private static final class RepeatCount {
    long startNanos;
    int passed;
    int dropped;
  }

  /**
   * Creates a limiter.
   *
   * @param maxPerInterval maximum number of records of one message in an interval
   * @param intervalNanos length of an interval in nanoseconds
   * @param clockNanos monotonic clock in nanoseconds
   */
  public RepeatLimiter(int maxPerInterval, long intervalNanos, LongSupplier clockNanos) {
    this.maxPerInterval = maxPerInterval;
    this.intervalNanos = intervalNanos;
    this.clockNanos = clockNanos;
  }

  @Override
  public synchronized boolean isLoggable(LogRecord logRecord) {
    long nowNanos = clockNanos.getAsLong();
    MessageKey key = keyOf(logRecord);
    RepeatCount count = counts.get(key);
    if (count == null || nowNanos - count.startNanos >= intervalNanos) {
      int dropped = count == null ? 0 : count.dropped;
      RepeatCount next = new RepeatCount();
      next.startNanos = nowNanos;
      next.passed = 1;
      counts.put(key, next);
      if (dropped > 0) {
        logRecord.setMessage(
            logRecord.getMessage() + " (%d repeats were not logged)".formatted(dropped));
      }
      return true;
    }
    if (count.passed < maxPerInterval) {
      count.passed++;
      return true;
    }
    count.dropped++;
    return false;
  }

  private static MessageKey keyOf(LogRecord logRecord) {
    return new MessageKey(
        String.valueOf(logRecord.getLoggerName()),
        logRecord.getLevel().intValue(),
        String.valueOf(logRecord.getMessage()));
  }
}
