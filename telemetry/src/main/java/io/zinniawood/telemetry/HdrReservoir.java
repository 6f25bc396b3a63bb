package io.zinniawood.telemetry;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * Reservoir of bounded size that covers the current and the previous time window. Its histograms
 * record every value with two significant digits, so that high quantiles are accurate to 1%.
 */
public final class HdrReservoir implements Reservoir {
  private static final int SIGNIFICANT_DIGITS = 2;

  /** Largest recorded value, one hour; larger values are recorded as this one. */
  private static final long MAX_VALUE_NANOS = TimeUnit.HOURS.toNanos(1);

  private final long windowNanos;
  private final LongSupplier clockNanos;
  private final Recorder recorder = new Recorder(MAX_VALUE_NANOS, SIGNIFICANT_DIGITS);
  private Histogram current = new Histogram(MAX_VALUE_NANOS, SIGNIFICANT_DIGITS);
  private Histogram previous = new Histogram(MAX_VALUE_NANOS, SIGNIFICANT_DIGITS);
  private Histogram interval = recorder.getIntervalHistogram();
  private long windowStartNanos;

  /**
   * Creates an empty reservoir.
   *
   * @param windowNanos length of a window in nanoseconds
   * @param clockNanos monotonic clock in nanoseconds
   */
  public HdrReservoir(long windowNanos, LongSupplier clockNanos) {
    this.windowNanos = windowNanos;
    this.clockNanos = clockNanos;
    this.windowStartNanos = clockNanos.getAsLong();
  }

  @Override
  public void update(long value) {
    recorder.recordValue(Math.max(0, Math.min(value, MAX_VALUE_NANOS)));
  }

  @Override
  public int size() {
    return getSnapshot().size();
  }

  // Values that were not collected by a snapshot before the window ended count in the next window.
  @Override
  public synchronized Snapshot getSnapshot() {
    long elapsedNanos = clockNanos.getAsLong() - windowStartNanos;
    if (elapsedNanos >= windowNanos) {
      Histogram expired = previous;
      previous = current;
      current = expired;
      current.reset();
      if (elapsedNanos >= 2 * windowNanos) {
        previous.reset();
      }
      windowStartNanos = clockNanos.getAsLong();
    }
    interval = recorder.getIntervalHistogram(interval);
    current.add(interval);
    Histogram merged = current.copy();
    merged.add(previous);
    return new HdrSnapshot(merged);
  }
}
