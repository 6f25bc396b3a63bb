package io.zinniawood.core.quarantine;

import java.util.concurrent.TimeUnit;

/** Mutable state of a part that is held back. */
final class HeldPart {
  /** Time until the first trial while only two crashes speak against the part. */
  private static final long SUSPECTED_HOLD_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Time until the next trial of a part that crashed three endpoints; doubles with each trial. */
  private static final long CONFIRMED_HOLD_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Number of crashes from which the part counts as confirmed. */
  private static final int CONFIRMED_CRASHES = 3;

  /** Maximum number of doublings: a trial about every eight minutes. */
  private static final int MAX_DOUBLINGS = 4;

  /** Time after the last crash from which a further one can only come from a trial. */
  private static final long TRIAL_DISTANCE_NANOS = TimeUnit.SECONDS.toNanos(2);

  int crashes;
  long lastCrashNanos;
  int failedTrials;

  /** Whether a trial request of this router is in progress. */
  boolean trialRunning;

  private boolean trialEnded;
  private long trialEndNanos;

  HeldPart(int crashes, long lastCrashNanos) {
    this.crashes = crashes;
    this.lastCrashNanos = lastCrashNanos;
  }

  /** Counts another crash. */
  void crashed(long atNanos) {
    if (atNanos - lastCrashNanos > TRIAL_DISTANCE_NANOS) {
      failedTrials++;
    }
    crashes++;
    lastCrashNanos = Math.max(lastCrashNanos, atNanos);
  }

  /** Takes over what another router knows beyond this one. */
  void merge(HeldPartNotice notice, long noticeCrashNanos) {
    // The time is taken over only with a new crash: each transfer adds the delay of the message.
    if (notice.crashes() > crashes || notice.failedTrials() > failedTrials) {
      lastCrashNanos = Math.max(lastCrashNanos, noticeCrashNanos);
    }
    crashes = Math.max(crashes, notice.crashes());
    failedTrials = Math.max(failedTrials, notice.failedTrials());
  }

  /** Records the end of a trial request; whether it crashed an endpoint is known a little later. */
  void trialEnded(long atNanos) {
    trialRunning = false;
    trialEnded = true;
    trialEndNanos = atNanos;
  }

  /** Returns whether a trial request may be sent. */
  boolean trialDue(long nowNanos) {
    boolean undecided = trialEnded && nowNanos - trialEndNanos < TRIAL_DISTANCE_NANOS;
    return !trialRunning && !undecided && nowNanos - trialNanos() >= 0;
  }

  /** Returns the time from which a single request may be sent to try the part again. */
  long trialNanos() {
    if (crashes < CONFIRMED_CRASHES) {
      return lastCrashNanos + SUSPECTED_HOLD_NANOS;
    }
    return lastCrashNanos + (CONFIRMED_HOLD_NANOS << Math.min(failedTrials, MAX_DOUBLINGS));
  }
}
