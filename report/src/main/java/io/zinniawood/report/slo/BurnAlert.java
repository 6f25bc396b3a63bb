package io.zinniawood.report.slo;

import java.util.concurrent.TimeUnit;

/** Burn-rate alert over two windows; the short window ends it soon after its cause is gone. */
public enum BurnAlert {
  /** Spends 2 % of a 30-day budget in an hour. */
  FAST(14.4, TimeUnit.HOURS.toMillis(1), TimeUnit.MINUTES.toMillis(5), Urgency.NOW),
  /** Spends 5 % of a 30-day budget in six hours. */
  SLOW(6, TimeUnit.HOURS.toMillis(6), TimeUnit.MINUTES.toMillis(30), Urgency.NOW),
  /** Spends 10 % of a 30-day budget in three days. */
  STEADY(1, TimeUnit.DAYS.toMillis(3), TimeUnit.HOURS.toMillis(6), Urgency.THIS_WEEK);

  /** Time within which an operator should act. */
  public enum Urgency {
    /** Immediately. */
    NOW,
    /** Within the next working days. */
    THIS_WEEK
  }

  private final double threshold;
  private final long longWindowMillis;
  private final long shortWindowMillis;
  private final Urgency urgency;

  BurnAlert(double threshold, long longWindowMillis, long shortWindowMillis, Urgency urgency) {
    this.threshold = threshold;
    this.longWindowMillis = longWindowMillis;
    this.shortWindowMillis = shortWindowMillis;
    this.urgency = urgency;
  }

  /** Returns the burn rate at or above which the alert is active. */
  public double threshold() {
    return threshold;
  }

  /** Returns the long window in milliseconds. */
  public long longWindowMillis() {
    return longWindowMillis;
  }

  /** Returns the short window in milliseconds. */
  public long shortWindowMillis() {
    return shortWindowMillis;
  }

  /** Returns how soon an operator should act. */
  public Urgency urgency() {
    return urgency;
  }
}
