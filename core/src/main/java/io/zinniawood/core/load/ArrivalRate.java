package io.zinniawood.core.load;

import java.util.concurrent.TimeUnit;

/** Rate of arrivals as an exponentially weighted sum with a time constant of one second. */
final class ArrivalRate {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private double perSecond;
  private long updatedNanos;

  void arrived(long nowNanos) {
    perSecond = perSecond(nowNanos) + 1;
    updatedNanos = nowNanos;
  }

  double perSecond(long nowNanos) {
    return perSecond * Math.exp(-(nowNanos - updatedNanos) / NANOS_PER_SECOND);
  }
}
