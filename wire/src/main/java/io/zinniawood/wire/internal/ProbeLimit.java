package io.zinniawood.wire.internal;

import java.util.concurrent.TimeUnit;

/**
 * Limits the rate of probes that a peer sends on a connection. Each is answered, so that a peer
 * which sends them without pause occupies the I/O thread of the others. Not thread-safe.
 */
final class ProbeLimit {
  /** A peer sends at most four a second, one for each interval of an active connection. */
  static final int MAX_PROBES_PER_SECOND = 100;

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  private long windowStartNanos;
  private int probes;

  /** Returns whether a probe that arrives now is within the limit. */
  boolean allows(long nowNanos) {
    if (probes == 0 || nowNanos - windowStartNanos >= WINDOW_NANOS) {
      windowStartNanos = nowNanos;
      probes = 0;
    }
    probes++;
    return probes <= MAX_PROBES_PER_SECOND;
  }
}
