package io.zinniawood.core.relay;

import java.util.concurrent.TimeUnit;

/**
 * Progress of this relay's reads of one table of the store. A view counts as fresh from the time at
 * which the store gave the answer that confirmed it, whichever relay had asked.
 */
final class StoreReadTimes {
  /** Delay before a failed read is retried. */
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private boolean everFresh;
  private long freshNanos;
  private boolean pending;
  private long retryNanos;
  private boolean retryDelayed;

  /** Returns whether a read is due because the view is older than the given time. */
  boolean due(long maxAgeNanos, long nowNanos) {
    boolean stale = !everFresh || nowNanos - freshNanos >= maxAgeNanos;
    return stale && !pending && !(retryDelayed && nowNanos - retryNanos < 0);
  }

  /** Records that a read was sent. */
  void sent() {
    pending = true;
  }

  /** Records the answer to an own read. */
  void answered(long nowNanos) {
    pending = false;
    retryDelayed = false;
    confirmed(nowNanos);
  }

  /** Records that an own read failed; it is retried after a delay. */
  void failed(long nowNanos) {
    pending = false;
    retryDelayed = true;
    retryNanos = nowNanos + RETRY_DELAY_NANOS;
  }

  /** Records that the view was the newest one at the given time. */
  void confirmed(long atNanos) {
    if (!everFresh || atNanos - freshNanos > 0) {
      everFresh = true;
      freshNanos = atNanos;
    }
  }

  /** Marks the view as out of date, so that a read is due. */
  void invalidate() {
    everFresh = false;
  }

  /** Returns the age of the view in milliseconds; the maximum of an int if it was never read. */
  long ageMillis(long nowNanos) {
    return everFresh
        ? Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - freshNanos))
        : Integer.MAX_VALUE;
  }
}
