package io.zinniawood.core.agent;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.ClaimKey;
import io.zinniawood.core.model.ClaimRow;

/**
 * State of the gate in front of a plain service.
 *
 * @param live attempts that have not ended
 * @param keys attempt that holds or awaits the claim of a key, until its row is final
 * @param waiting attempts that wait for the end of another attempt with the same key
 * @param queue attempts that wait for a free place
 * @param claiming claims that are being written
 * @param running attempts that hold a place
 * @param finished attempts that ended
 * @param storing final rows that are not stored yet
 * @param meanCallNanos moving average of the duration of a call in nanoseconds, 0 if unknown
 * @param leavingSinceNanos time at which the agent began to leave, 0 before
 */
record GateState(
    Map<AttemptId, Attempt> live,
    Map<ClaimKey, AttemptId> keys,
    Map<AttemptId, Vector<AttemptId>> waiting,
    FairQueue queue,
    int claiming,
    int running,
    FinishedAttempts finished,
    Map<AttemptId, PendingRow> storing,
    long meanCallNanos,
    long leavingSinceNanos) {
  /** Phase of a live attempt. */
  enum Phase {
    /** Waits for a free place. */
    QUEUED,
    /** Waits for another attempt with the same key. */
    WAITING,
    /** Waits for the claim of its key. */
    CLAIMING,
    /** Holds the claim of its key and waits for a free place. */
    CLAIMED,
    /** Was refused or cancelled while the claim was written; never calls the service. */
    ABANDONED,
    /** Calls the service. */
    CALLING
  }

  /**
   * Attempt that has not ended.
   *
   * @param dispatch the work
   * @param askers requests that wait for the result
   * @param phase phase
   * @param deadlineNanos time after which the call must not start
   * @param startedNanos time at which the call started
   */
  record Attempt(
      Message.Dispatch dispatch,
      Set<Asker> askers,
      Phase phase,
      long deadlineNanos,
      long startedNanos) {
    /** Tells whether the attempt waits in the queue for a free place. */
    boolean queued() {
      return phase == Phase.QUEUED || phase == Phase.CLAIMED;
    }

    Attempt with(Phase value) {
      return new Attempt(dispatch, askers, value, deadlineNanos, startedNanos);
    }

    Attempt startedAt(long nowNanos) {
      return new Attempt(dispatch, askers, Phase.CALLING, deadlineNanos, nowNanos);
    }

    Attempt askedBy(Asker asker) {
      return new Attempt(dispatch, askers.add(asker), phase, deadlineNanos, startedNanos);
    }
  }

  /**
   * Final claim row that is not stored yet.
   *
   * @param key key of the claim
   * @param row the row, finished or released
   * @param tries failed writes
   */
  record PendingRow(ClaimKey key, ClaimRow row, int tries) {}

  static GateState initial() {
    return new GateState(
        HashMap.empty(),
        HashMap.empty(),
        HashMap.empty(),
        FairQueue.empty(),
        0,
        0,
        FinishedAttempts.empty(),
        HashMap.empty(),
        0,
        0);
  }

  boolean idle() {
    return live.isEmpty() && storing.isEmpty();
  }

  GateState withLive(Map<AttemptId, Attempt> value) {
    return new GateState(
        value,
        keys,
        waiting,
        queue,
        claiming,
        running,
        finished,
        storing,
        meanCallNanos,
        leavingSinceNanos);
  }

  GateState withKeys(Map<ClaimKey, AttemptId> value) {
    return new GateState(
        live,
        value,
        waiting,
        queue,
        claiming,
        running,
        finished,
        storing,
        meanCallNanos,
        leavingSinceNanos);
  }

  GateState withWaiting(Map<AttemptId, Vector<AttemptId>> value) {
    return new GateState(
        live,
        keys,
        value,
        queue,
        claiming,
        running,
        finished,
        storing,
        meanCallNanos,
        leavingSinceNanos);
  }

  GateState withQueue(FairQueue value) {
    return new GateState(
        live,
        keys,
        waiting,
        value,
        claiming,
        running,
        finished,
        storing,
        meanCallNanos,
        leavingSinceNanos);
  }

  GateState withClaiming(int value) {
    return new GateState(
        live,
        keys,
        waiting,
        queue,
        value,
        running,
        finished,
        storing,
        meanCallNanos,
        leavingSinceNanos);
  }

  GateState withRunning(int value) {
    return new GateState(
        live,
        keys,
        waiting,
        queue,
        claiming,
        value,
        finished,
        storing,
        meanCallNanos,
        leavingSinceNanos);
  }

  GateState withFinished(FinishedAttempts value) {
    return new GateState(
        live,
        keys,
        waiting,
        queue,
        claiming,
        running,
        value,
        storing,
        meanCallNanos,
        leavingSinceNanos);
  }

  GateState withStoring(Map<AttemptId, PendingRow> value) {
    return new GateState(
        live,
        keys,
        waiting,
        queue,
        claiming,
        running,
        finished,
        value,
        meanCallNanos,
        leavingSinceNanos);
  }

  GateState withMeanCallNanos(long value) {
    return new GateState(
        live, keys, waiting, queue, claiming, running, finished, storing, value, leavingSinceNanos);
  }

  GateState withLeavingSince(long nowNanos) {
    return new GateState(
        live, keys, waiting, queue, claiming, running, finished, storing, meanCallNanos, nowNanos);
  }
}
