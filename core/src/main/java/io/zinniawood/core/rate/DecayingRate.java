package io.zinniawood.core.rate;

import java.util.concurrent.TimeUnit;

/** Exponentially weighted rate of events. */
public final class DecayingRate {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Share of the mean age below which the observed time counts as this share. */
  private static final double MIN_OBSERVED_SHARE = 0.05;

  private final double meanAgeSeconds;
  private double weight;
  private boolean begun;
  private long firstNanos;
  private long lastNanos;

  /**
   * Creates a rate without events.
   *
   * @param meanAgeSeconds mean age of the events that count, in seconds
   */
  public DecayingRate(double meanAgeSeconds) {
    this.meanAgeSeconds = meanAgeSeconds;
  }

  /** Adds an event. */
  public void add(long nowNanos) {
    if (!begun) {
      begun = true;
      firstNanos = nowNanos;
      lastNanos = nowNanos;
    }
    weight = weight(nowNanos) + 1;
    lastNanos = nowNanos;
  }

  /** Returns the number of events, each weighted down by its age. */
  public double weight(long nowNanos) {
    return weight * Math.exp(-(nowNanos - lastNanos) / NANOS_PER_SECOND / meanAgeSeconds);
  }

  /** Returns the rate; the time before the first event does not lower it. */
  public double perSecond(long nowNanos) {
    if (!begun) {
      return 0;
    }
    double observedSeconds = (nowNanos - firstNanos) / NANOS_PER_SECOND;
    double observedShare = 1 - Math.exp(-observedSeconds / meanAgeSeconds);
    return weight(nowNanos) / meanAgeSeconds / Math.max(MIN_OBSERVED_SHARE, observedShare);
  }
}
