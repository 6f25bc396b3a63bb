package io.zinniawood.core.waiting;

import java.util.concurrent.TimeUnit;

/** Last part of a service's capacity, which is kept for urgent requests while there are any. */
public final class UrgentReserve {
  /** Share of the capacity that is kept. */
  private static final double RESERVED_SHARE = 0.1;

  /** Time after the last urgent request for which capacity is kept for the next one. */
  private static final long URGENT_DEMAND_NANOS = TimeUnit.SECONDS.toNanos(2);

  private boolean urgentSeen;
  private long lastUrgentNanos;

  /** Records an urgent request. */
  public void urgentArrived(long nowNanos) {
    urgentSeen = true;
    lastUrgentNanos = nowNanos;
  }

  /** Returns whether capacity is kept at present. */
  public boolean kept(long nowNanos) {
    return urgentSeen && nowNanos - lastUrgentNanos < URGENT_DEMAND_NANOS;
  }

  /**
   * Returns whether a less urgent request may be sent.
   *
   * @param usedShare share of the capacity in use with this request
   */
  public boolean permits(long nowNanos, double usedShare) {
    return !kept(nowNanos) || usedShare <= 1 - RESERVED_SHARE;
  }
}
