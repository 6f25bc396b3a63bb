package io.zinniawood.standin.engine;

import java.util.function.Supplier;

/** Load report that lags behind the load: its values are refreshed once per interval. */
final class LoadMeter {
  private final long intervalNanos;
  private final Supplier<Reading> currentReading;
  private Reading last = new Reading(0, 0, 0);
  private double lastTokensPerSecond;
  private long lastNanos;

  LoadMeter(long intervalMillis, Supplier<Reading> currentReading, long nowNanos) {
    this.intervalNanos = intervalMillis * 1_000_000;
    this.currentReading = currentReading;
    this.lastNanos = nowNanos;
  }

  /** Load of the engine at one time. */
  record Reading(int running, int queued, long finishedSteps) {}

  /** Load report in its JSON form. */
  record LoadBody(int running, int queued, int concurrencyLimit, double tokensPerSecond) {}

  synchronized LoadBody report(int concurrencyLimit, long nowNanos) {
    long elapsedNanos = nowNanos - lastNanos;
    if (elapsedNanos >= intervalNanos && elapsedNanos > 0) {
      Reading reading = currentReading.get();
      long steps = reading.finishedSteps() - last.finishedSteps();
      lastTokensPerSecond = steps * 1e9 / elapsedNanos;
      last = reading;
      lastNanos = nowNanos;
    }
    return new LoadBody(last.running(), last.queued(), concurrencyLimit, lastTokensPerSecond);
  }
}
