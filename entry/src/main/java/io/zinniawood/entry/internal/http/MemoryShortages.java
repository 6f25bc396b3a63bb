package io.zinniawood.entry.internal.http;

import io.zinniawood.ingress.MemoryAccount;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Counts and logs the refusals of callers for want of memory. Thread-safe. */
public final class MemoryShortages implements MemoryAccount.ShortageListener {
  /** Minimum time between two log lines. */
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Logger logger;
  private final LongSupplier clockNanos;
  private final AtomicLong refusals = new AtomicLong();
  private final AtomicLong nextLineNanos;

  /**
   * Creates a counter.
   *
   * @param clockNanos monotonic clock in nanoseconds
   */
  public MemoryShortages(Logger logger, LongSupplier clockNanos) {
    this.logger = logger;
    this.clockNanos = clockNanos;
    this.nextLineNanos = new AtomicLong(clockNanos.getAsLong());
  }

  @Override
  public void memoryShort(long usedBytes, long limitBytes) {
    long total = refusals.incrementAndGet();
    long nowNanos = clockNanos.getAsLong();
    long dueNanos = nextLineNanos.get();
    if (nowNanos - dueNanos >= 0
        && nextLineNanos.compareAndSet(dueNanos, nowNanos + LOG_INTERVAL_NANOS)) {
      logger.log(
          Level.WARNING,
          "memory for callers is short: {0} of {1} bytes are used, {2} refusals since the start",
          usedBytes,
          limitBytes,
          total);
    }
  }

  /** Returns how many times a caller had to give way since the start. */
  public long refusals() {
    return refusals.get();
  }
}
