package io.zinniawood.relay.internal;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Text that is rendered at most four times a second. Rendering the metrics for each of thousands of
 * pipelined requests occupied the event loop for a minute.
 */
public final class RecentText implements Supplier<String> {
  private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final Supplier<String> renderer;
  private final LongSupplier nanoClock;
  private String text = "";
  private long renderedNanos;

  /**
   * Creates an object that has rendered nothing yet.
   *
   * @param nanoClock monotonic clock in nanoseconds
   */
  public RecentText(Supplier<String> renderer, LongSupplier nanoClock) {
    this.renderer = renderer;
    this.nanoClock = nanoClock;
  }

  @Override
  public String get() {
    long nowNanos = nanoClock.getAsLong();
    if (text.isEmpty() || nowNanos - renderedNanos >= MAX_AGE_NANOS) {
      text = renderer.get();
      renderedNanos = nowNanos;
    }
    return text;
  }
}
