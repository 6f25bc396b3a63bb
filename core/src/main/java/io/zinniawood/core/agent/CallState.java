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
 * @param ownersByKey attempt that holds or awaits the claim of a key, until its row is final
 * @param waitersByOwner attempts that wait for the end of another attempt with the same key
 * @param queue attempts that wait for a free place
 * @param claimsInFlight claims that are being written
 * @param runningCalls attempts that hold a place
 * @param finished attempts that ended
 * @param pendingRows final rows that are not stored yet
 * @param meanCallNanos moving average of the duration of a call in nanoseconds, 0 if unknown
 * @param leavingSinceNanos time at which the agent began to leave, 0 before
 */
record CallState(
    Map<AttemptId, Attempt> live,
    Map<ClaimKey, AttemptId> ownersByKey,
    Map<AttemptId, Vector<AttemptId>> waitersByOwner,
    FairQueue queue,
    int claimsInFlight,
    int runningCalls,
    FinishedAttempts finished,
    Map<AttemptId, PendingRow> pendingRows,
    long meanCallNanos,
    long leavingSinceNanos) {
  /** Phase of a live attempt. */
  enum Phase {
    /** Waits for a free place. */
    QUEUED,
    /** Waits for another attempt with the same key. */
    AWAITING_OWNER,
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
   * @param requesters requests that wait for the result
   * @param phase phase
   * @param deadlineNanos time after which the call must not start
   * @param startedNanos time at which the call started
   */
  record Attempt(
      Message.Dispatch dispatch,
      Set<Requester> requesters,
      Phase phase,
      long deadlineNanos,
      long startedNanos) {
    /** Tells whether the attempt waits in the queue for a free place. */
    boolean queued() {
      return phase == Phase.QUEUED || phase == Phase.CLAIMED;
    }

    Attempt withPhase(Phase value) {
      return new Attempt(dispatch, requesters, value, deadlineNanos, startedNanos);
    }

    Attempt startedAt(long nowNanos) {
      return new Attempt(dispatch, requesters, Phase.CALLING, deadlineNanos, nowNanos);
    }

    Attempt withRequester(Requester asker) {
      return new Attempt(dispatch, requesters.add(asker), phase, deadlineNanos, startedNanos);
    }
  }

  /**
   * Final claim row that is not stored yet.
   *
   * @param key key of the claim
   * @param row the row, finished or released
   * @param failedWrites failed writes
   */
  record PendingRow(ClaimKey key, ClaimRow row, int failedWrites) {}

  static CallState initial() {
    return new CallState(
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
    return live.isEmpty() && pendingRows.isEmpty();
  }

  CallState withLive(Map<AttemptId, Attempt> value) {
    return new CallState(
        value,
        ownersByKey,
        waitersByOwner,
        queue,
        claimsInFlight,
        runningCalls,
        finished,
        pendingRows,
        meanCallNanos,
        leavingSinceNanos);
  }

  CallState withOwnersByKey(Map<ClaimKey, AttemptId> value) {
    return new CallState(
        live,
        value,
        waitersByOwner,
        queue,
        claimsInFlight,
        runningCalls,
        finished,
        pendingRows,
        meanCallNanos,
        leavingSinceNanos);
  }

  CallState withWaitersByOwner(Map<AttemptId, Vector<AttemptId>> value) {
    return new CallState(
        live,
        ownersByKey,
        value,
        queue,
        claimsInFlight,
        runningCalls,
        finished,
        pendingRows,
        meanCallNanos,
        leavingSinceNanos);
  }

  CallState withQueue(FairQueue value) {
    return new CallState(
        live,
        ownersByKey,
        waitersByOwner,
        value,
        claimsInFlight,
        runningCalls,
        finished,
        pendingRows,
        meanCallNanos,
        leavingSinceNanos);
  }

  CallState withClaimsInFlight(int value) {
    return new CallState(
        live,
        ownersByKey,
        waitersByOwner,
        queue,
        value,
        runningCalls,
        finished,
        pendingRows,
        meanCallNanos,
        leavingSinceNanos);
  }

  CallState withRunningCalls(int value) {
    return new CallState(
        live,
        ownersByKey,
        waitersByOwner,
        queue,
        claimsInFlight,
        value,
        finished,
        pendingRows,
        meanCallNanos,
        leavingSinceNanos);
  }

  CallState withFinished(FinishedAttempts value) {
    return new CallState(
        live,
        ownersByKey,
        waitersByOwner,
        queue,
        claimsInFlight,
        runningCalls,
        value,
        pendingRows,
        meanCallNanos,
        leavingSinceNanos);
  }

  CallState withPendingRows(Map<AttemptId, PendingRow> value) {
    return new CallState(
        live,
        ownersByKey,
        waitersByOwner,
        queue,
        claimsInFlight,
        runningCalls,
        finished,
        value,
        meanCallNanos,
        leavingSinceNanos);
  }

  CallState withMeanCallNanos(long value) {
    return new CallState(
        live,
        ownersByKey,
        waitersByOwner,
        queue,
        claimsInFlight,
        runningCalls,
        finished,
        pendingRows,
        value,
        leavingSinceNanos);
  }

  CallState withLeavingSince(long nowNanos) {
    return new CallState(
        live,
        ownersByKey,
        waitersByOwner,
        queue,
        claimsInFlight,
        runningCalls,
        finished,
        pendingRows,
        meanCallNanos,
        nowNanos);
  }
}
