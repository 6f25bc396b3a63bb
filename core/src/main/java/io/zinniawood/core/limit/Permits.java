package io.zinniawood.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Permits of this process to send requests to one endpoint: a token bucket, and permits that other
 * processes gave, which expire soon. Not thread-safe.
 */
final class Permits {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Time of its rate that the bucket holds beyond one permit: two intervals between messages. */
  private static final double DEPTH_SECONDS = 0.5;

  /** Time for which a permit of another process is valid. */
  private static final long RECEIVED_VALID_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Maximum number of requests that were sent without a permit and are still to be made up for. */
  private static final double MAX_DEBT = 2;

  private final Deque<Long> receivedExpiryNanos = new ArrayDeque<>();
  private double own;
  private double lowestOwn;
  private double ratePerSecond;
  private long refilledNanos;

  Permits(long nowNanos) {
    refilledNanos = nowNanos;
  }

  /** Adds what the rate gave since the last call, and sets the rate from now on. */
  void refill(double newRatePerSecond, long nowNanos) {
    own += ratePerSecond * (nowNanos - refilledNanos) / NANOS_PER_SECOND;
    refilledNanos = nowNanos;
    ratePerSecond = newRatePerSecond;
    own = Math.min(own, depth());
    while (!receivedExpiryNanos.isEmpty() && nowNanos - receivedExpiryNanos.peekFirst() >= 0) {
      receivedExpiryNanos.removeFirst();
    }
  }

  private double depth() {
    return ratePerSecond > 0 ? 1 + ratePerSecond * DEPTH_SECONDS : 0;
  }

  double ratePerSecond() {
    return ratePerSecond;
  }

  /** Returns whether there is a permit beyond those that are kept for others. */
  boolean available(int keptForOthers) {
    return !receivedExpiryNanos.isEmpty() || own >= 1 + keptForOthers;
  }

  /** Returns the time until the bucket holds a permit, in seconds, if it has a rate. */
  double secondsUntilPermit() {
    return Math.max(0, 1 - own) / ratePerSecond;
  }

  /**
   * Uses a permit, also if there is none.
   *
   * @return whether it was one of the bucket
   */
  boolean use() {
    if (receivedExpiryNanos.pollFirst() != null) {
      return false;
    }
    own = Math.max(-MAX_DEBT, own - 1);
    lowestOwn = Math.min(lowestOwn, own);
    return true;
  }

  /** Returns the number of permits that the bucket held since the last call of this method. */
  int unused() {
    double unused = Math.min(lowestOwn, own);
    lowestOwn = own;
    return (int) Math.max(0, unused);
  }

  /** Takes permits out of the bucket for other processes and returns how many it held. */
  int takeForOthers(int most) {
    int taken = (int) Math.max(0, Math.min(most, Math.floor(own)));
    own -= taken;
    lowestOwn = Math.min(lowestOwn, own);
    return taken;
  }

  /** Adds permits of another process, as far as there is room. */
  void receive(int count, int room, long nowNanos) {
    for (int added = 0; added < count && receivedExpiryNanos.size() < room; added++) {
      receivedExpiryNanos.addLast(nowNanos + RECEIVED_VALID_NANOS);
    }
  }
}
