package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.CrashSubject;
import io.zinniawood.core.id.RequestFingerprint;
import java.util.concurrent.TimeUnit;

/** Mutable state of a subject that is held back. */
final class HeldSubject {
  /**
   * Time until the first trial; doubles with each trial that fails. A trial that fails breaks all
   * answers of one endpoint.
   */
  private static final long FIRST_HOLD_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Maximum number of doublings of a part: a trial about every eight minutes. */
  private static final int MAX_PART_DOUBLINGS = 4;

  /**
   * Maximum number of doublings of a request: a trial about every two hours. Fewer callers miss a
   * request than a part.
   */
  private static final int MAX_REQUEST_DOUBLINGS = 8;

  /** Time without a request, after a trial is due, for which a subject is remembered. */
  private static final long MEMORY_NANOS = TimeUnit.MINUTES.toNanos(10);

  /** Time after the last crash from which a further one can only come from a trial. */
  private static final long TRIAL_DISTANCE_NANOS = TimeUnit.SECONDS.toNanos(2);

  int crashes;
  long lastCrashNanos;
  int failedTrials;

  /** Whether a trial request of this router is in progress. */
  boolean trialRunning;

  private final int maxDoublings;
  private boolean trialEnded;
  private long nextTrialNanos;

  HeldSubject(CrashSubject subject, int crashes, long lastCrashNanos) {
    this.maxDoublings =
        subject instanceof RequestFingerprint ? MAX_REQUEST_DOUBLINGS : MAX_PART_DOUBLINGS;
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
  void merge(HeldSubjectNotice notice, long noticeCrashNanos) {
    // The time is taken over only with a new crash: each transfer adds the delay of the message.
    if (notice.crashes() > crashes || notice.failedTrials() > failedTrials) {
      lastCrashNanos = Math.max(lastCrashNanos, noticeCrashNanos);
    }
    crashes = Math.max(crashes, notice.crashes());
    failedTrials = Math.max(failedTrials, notice.failedTrials());
  }

  /**
   * Records the end of a trial request; whether it crashed an endpoint is known a little later, or
   * never.
   *
   * @param mayHaveRun whether an endpoint may have begun to run the request
   */
  void trialEnded(long atNanos, boolean mayHaveRun) {
    trialRunning = false;
    trialEnded = true;
    nextTrialNanos = atNanos + (mayHaveRun ? FIRST_HOLD_NANOS : TRIAL_DISTANCE_NANOS);
  }

  /** Returns whether a trial request may be sent. */
  boolean trialDue(long nowNanos) {
    return !trialRunning && nowNanos - trialNanos() >= 0;
  }

  /** Returns whether no request came long after a trial was due, so that nothing is to be held. */
  boolean forgotten(long nowNanos) {
    return !trialRunning && nowNanos - trialNanos() >= MEMORY_NANOS;
  }

  /** Returns the time from which a single request may be sent to try the subject again. */
  long trialNanos() {
    long holdEndNanos = lastCrashNanos + (FIRST_HOLD_NANOS << Math.min(failedTrials, maxDoublings));
    return trialEnded && nextTrialNanos - holdEndNanos > 0 ? nextTrialNanos : holdEndNanos;
  }
}
