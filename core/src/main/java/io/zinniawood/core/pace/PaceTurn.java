package io.zinniawood.core.pace;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Turn of a relay among those that may select the same endpoints at the same time. Relays learn of
 * each other's requests every 250 ms. Without turns, all relays take the last free capacity of an
 * endpoint together. In each such interval, a relay draws how many of the others come before it,
 * and leaves room for one request of each of these.
 */
public final class PaceTurn {
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private PaceTurn() {}

  /**
   * Returns the number of requests that must have room for a relay to send one.
   *
   * @param seed seed of the draws, which must differ between relays
   * @param relays number of live relays, including this one
   */
  public static double roomRequests(long seed, int relays, long nowNanos) {
    long interval = Math.floorDiv(nowNanos, INTERVAL_NANOS);
    double turn = new SplittableRandom(seed ^ Long.reverse(interval)).nextDouble();
    return 1 + turn * (relays - 1);
  }
}
