package io.zinniawood.core.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Records for how long the store has answered without interruption, this process or another one.
 * Entries expire while the store is down and reappear after its return, so removals are put off for
 * a while. An interruption of this process's own way to the store expires no entries: a process
 * that read on through it proves that there was no outage. Not thread-safe.
 */
final class StoreContinuity {
  /**
   * Time after a store outage during which entries that expired in the outage may reappear. The
   * platform documents about two seconds.
   */
  private static final long REAPPEARANCE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

  /** Longest time between two answers in which no entry can expire for lack of a check-in. */
  private static final long MAX_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Time after an outage in which reads may show check-ins of the time before it. */
  private static final long EARLIER_CHECK_INS_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private boolean everAnswered;
  private long lastAnswerNanos;

  /** Time since which the store has answered this process without interruption. */
  private long steadySinceNanos;

  private boolean unavailable;
  private boolean everInterrupted;

  /** Time at which the last outage ended, or before which it must have ended. */
  private long outageEndNanos;

  /** Records that the store stopped answering this process. */
  void lost() {
    unavailable = true;
  }

  /** Returns whether the store does not answer this process. */
  boolean unavailable() {
    return unavailable;
  }

  /** Records an answer of the store, to this process or as another one passed it on. */
  void answered(long nowNanos) {
    if (unavailable || (everAnswered && nowNanos - lastAnswerNanos > MAX_GAP_NANOS)) {
      interrupted(nowNanos);
    } else if (!everAnswered) {
      steadySinceNanos = nowNanos;
    }
    everAnswered = true;
    unavailable = false;
    lastAnswerNanos = nowNanos;
  }

  /** Records that the store came back as a copy of an earlier state. */
  void restored(long nowNanos) {
    interrupted(nowNanos);
  }

  private void interrupted(long nowNanos) {
    steadySinceNanos = nowNanos;
    everInterrupted = true;
    outageEndNanos = nowNanos;
  }

  /**
   * Applies what another process observed.
   *
   * @param steadyMillis time for which the store has answered that process, in milliseconds
   */
  void answeredElsewhere(long steadyMillis, long nowNanos) {
    long sinceNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(steadyMillis);
    if (everInterrupted && sinceNanos - outageEndNanos < 0) {
      outageEndNanos = sinceNanos;
    }
  }

  /** Returns the time for which the store has answered this process, in milliseconds. */
  long steadyMillis(long nowNanos) {
    return everAnswered && !unavailable && nowNanos - lastAnswerNanos <= MAX_GAP_NANOS
        ? TimeUnit.NANOSECONDS.toMillis(nowNanos - steadySinceNanos)
        : 0;
  }

  /** Returns whether a check-in that was read at a time was certainly made after the outage. */
  boolean madeAfterOutage(long readNanos) {
    return everInterrupted && readNanos - outageEndNanos > EARLIER_CHECK_INS_NANOS;
  }

  /** Returns the time for which missing entries may still reappear, in nanoseconds. */
  long reappearanceGraceNanos(long nowNanos) {
    return everInterrupted ? Math.max(0, outageEndNanos + REAPPEARANCE_GRACE_NANOS - nowNanos) : 0;
  }
}
