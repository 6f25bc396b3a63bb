package io.zinniawood.core.processor;

import java.util.concurrent.TimeUnit;

/**
 * Recognises a shortage of processor time by late ticks. A single long gap between ticks is a pause
 * of the whole VM, not a shortage, and does not count.
 *
 * <p>Designed for VMs of 0.27 to 1.5 cores whose ticks are late by 10 to 200 ms under load.
 */
public final class ProcessorGuard {
  /** Interval at which ticks are posted. */
  public static final long TICK_INTERVAL_MILLIS = 25;

  /** Smoothed lateness, relative to the shortest target latency, that defers optional work. */
  private static final double DEFER_PER_TARGET_LATENCY = 0.1;

  /** Smoothed lateness, relative to the shortest target latency, that refuses new requests. */
  private static final double REFUSE_PER_TARGET_LATENCY = 0.25;

  /** Share of its threshold at which a measure ends, so that it does not toggle. */
  private static final double HYSTERESIS_SHARE = 0.5;

  /**
   * Time constant of the smoothing. It is the longest Retry-After of a refusal: a shortage of that
   * length delays requests that are sent again.
   */
  private static final double SMOOTHING_MILLIS = 500;

  /** Gap above which the process may have been paused, as for the checks of endpoints. */
  private static final double PAUSE_MILLIS = 150;

  /** Factor on the intervals of optional work while processor time is short. */
  private static final int DEFERRED_INTERVAL_FACTOR = 4;

  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private boolean ticked;
  private long lastTickNanos;
  private boolean lastTickLate;
  private double latenessMillis;
  private boolean deferring;
  private boolean refusing;

  /**
   * Records a tick.
   *
   * @param shortestTargetLatencyMillis shortest target latency of the routes that the guard is in
   *     force for
   */
  public void tick(long nowNanos, double shortestTargetLatencyMillis) {
    double gapMillis = (nowNanos - lastTickNanos) / NANOS_PER_MILLI;
    lastTickNanos = nowNanos;
    if (!ticked) {
      ticked = true;
      return;
    }
    double lateMillis = Math.max(0, gapMillis - TICK_INTERVAL_MILLIS);
    boolean isolatedPause = gapMillis > PAUSE_MILLIS && !lastTickLate;
    lastTickLate = lateMillis >= TICK_INTERVAL_MILLIS;
    if (isolatedPause) {
      return;
    }
    // One tick counts for a limited time and lateness, so that a pause during a shortage is
    // bounded.
    double sampleMillis =
        Math.min(lateMillis, 2 * REFUSE_PER_TARGET_LATENCY * shortestTargetLatencyMillis);
    double weight = 1 - Math.exp(-Math.min(gapMillis, PAUSE_MILLIS) / SMOOTHING_MILLIS);
    latenessMillis += weight * (sampleMillis - latenessMillis);
    deferring = exceeds(DEFER_PER_TARGET_LATENCY * shortestTargetLatencyMillis, deferring);
    refusing = exceeds(REFUSE_PER_TARGET_LATENCY * shortestTargetLatencyMillis, refusing);
  }

  private boolean exceeds(double thresholdMillis, boolean before) {
    return latenessMillis > (before ? HYSTERESIS_SHARE : 1) * thresholdMillis;
  }

  /** Forgets all ticks, as the guard is in force for no service. */
  public void reset() {
    ticked = false;
    lastTickLate = false;
    latenessMillis = 0;
    deferring = false;
    refusing = false;
  }

  /** Returns whether work that can wait is to be done less often. */
  public boolean deferOptionalWork() {
    return deferring;
  }

  /** Returns the factor on the interval of work that can wait; 1 if processor time is not short. */
  public int optionalWorkIntervalFactor() {
    return deferring ? DEFERRED_INTERVAL_FACTOR : 1;
  }

  /** Returns whether new requests are to be refused. */
  public boolean refuseNewRequests() {
    return refusing;
  }

  /** Returns the smoothed lateness of the ticks in milliseconds. */
  public double latenessMillis() {
    return latenessMillis;
  }
}
