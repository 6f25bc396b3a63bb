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
 * State of the calls of a plain service.
 *
 * @param live attempts that have not ended, by id
 * @param ownersByKey attempt that holds or awaits the claim of a key, until its final row is stored
 * @param waitersByOwner attempts that wait for the owner of their key, by owner
 * @param queue attempts that wait for a free call slot
 * @param claimsInFlight number of claims that are being written
 * @param runningCalls number of running calls, each of which takes a call slot
 * @param finished results of attempts that ended
 * @param pendingRows final claim rows that are not stored yet, by attempt
 * @param meanCallNanos moving average of the duration of a call in nanoseconds, 0 if unknown
 * @param leavingSinceNanos time in nanoseconds at which the agent started to drain, 0 before
 * @param rate limit on calls a second that the service names
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
    long leavingSinceNanos,
    CallRate rate) {
  /** Phase of a live attempt. */
  enum Phase {
    /** Waits for a free call slot. */
    QUEUED,
    /** Waits for the result of the attempt that owns its key. */
    AWAITING_OWNER,
    /** Its claim is being written. */
    CLAIMING,
    /** Holds the claim of its key and waits for a free call slot. */
    CLAIMED,
    /** Was cancelled while its claim was being written; never calls the service. */
    ABANDONED,
    /** A call of the service is running. */
    CALLING
  }

  /**
   * Attempt that has not ended.
   *
   * @param dispatch message that requested the call
   * @param requesters requests that wait for the result
   * @param phase current phase
   * @param deadlineNanos time in nanoseconds from which on the call must not start
   * @param startedNanos time in nanoseconds at which the call started, 0 before
   */
  record Attempt(
      Message.Dispatch dispatch,
      Set<Requester> requesters,
      Phase phase,
      long deadlineNanos,
      long startedNanos) {
    /** Returns whether the attempt waits in the queue for a free call slot. */
    boolean queued() {
      return phase == Phase.QUEUED || phase == Phase.CLAIMED;
    }

    Attempt withPhase(Phase value) {
      return new Attempt(dispatch, requesters, value, deadlineNanos, startedNanos);
    }

    Attempt startedAt(long nowNanos) {
      return new Attempt(dispatch, requesters, Phase.CALLING, deadlineNanos, nowNanos);
    }

    Attempt withRequester(Requester requester) {
      return new Attempt(dispatch, requesters.add(requester), phase, deadlineNanos, startedNanos);
    }
  }

  /**
   * Final claim row that is not stored yet.
   *
   * @param key key of the claim
   * @param row row in state FINISHED or RELEASED
   * @param failedWrites number of writes that failed so far
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
        0,
        CallRate.unlimited());
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
        leavingSinceNanos,
        rate);
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
        leavingSinceNanos,
        rate);
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
        leavingSinceNanos,
        rate);
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
        leavingSinceNanos,
        rate);
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
        leavingSinceNanos,
        rate);
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
        leavingSinceNanos,
        rate);
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
        leavingSinceNanos,
        rate);
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
        leavingSinceNanos,
        rate);
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
        leavingSinceNanos,
        rate);
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
        nowNanos,
        rate);
  }

  CallState withRate(CallRate value) {
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
        leavingSinceNanos,
        value);
  }
}
