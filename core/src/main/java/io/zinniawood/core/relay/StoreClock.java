package io.zinniawood.core.relay;

import java.util.concurrent.TimeUnit;

/**
 * Estimate of the store's steady clock, by which a relay tells how old an answer is that another
 * relay received. The sender's own clock cannot tell: it stands still while its VM is suspended.
 */
final class StoreClock {
  private boolean known;
  private long offsetMillis;

  /** Forgets the estimate, as the clock of a restored store may be behind the former one. */
  void restart() {
    known = false;
  }

  /** Records an answer of the store; delays only make the estimate lower, so the highest counts. */
  void observe(long storeMillis, long nowNanos) {
    long offset = storeMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos);
    if (!known || offset > offsetMillis) {
      known = true;
      offsetMillis = offset;
    }
  }

  /** Returns the time since the store gave an answer, in milliseconds; at least 0. */
  long ageMillis(long storeMillis, long nowNanos) {
    return known
        ? Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos) + offsetMillis - storeMillis)
        : 0;
  }
}
