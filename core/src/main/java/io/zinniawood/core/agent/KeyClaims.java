package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.agent.CallState.Attempt;
import io.zinniawood.core.agent.CallState.PendingRow;
import io.zinniawood.core.agent.CallState.Phase;
import io.zinniawood.core.agent.FinishedAttempts.Result;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.ClaimKey;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.RequestDigest;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.runtime.Step;

/**
 * Claims idempotency keys. The attempt that owns a key calls the service; other attempts with the
 * same key wait for its result.
 */
final class KeyClaims {
  private KeyClaims() {}

  static Option<ClaimKey> claimKey(Message.Dispatch dispatch) {
    return dispatch
        .key()
        .map(key -> new ClaimKey(dispatch.clientAccount(), dispatch.service(), key));
  }

  static AgentState reserveKey(AgentState state, AttemptId id, Message.Dispatch dispatch) {
    return claimKey(dispatch)
        .map(
            key ->
                state.withCalls(
                    state.calls().withOwnersByKey(state.calls().ownersByKey().put(key, id))))
        .getOrElse(state);
  }

  /** Attaches an attempt to the owner of its key; empty if the key has no owner. */
  static Option<Step<AgentState, AgentEffect>> attachToKeyOwner(
      AgentState state, long nowNanos, Attempt attempt) {
    CallState calls = state.calls();
    return claimKey(attempt.dispatch())
        .flatMap(key -> calls.ownersByKey().get(key))
        .map(
            owner ->
                calls
                    .pendingRows()
                    .get(owner)
                    .map(row -> attachToPendingRow(state, nowNanos, attempt, owner, row.row()))
                    .getOrElse(() -> attachToLiveOwner(state, nowNanos, attempt, owner)));
  }

  private static Step<AgentState, AgentEffect> attachToPendingRow(
      AgentState state, long nowNanos, Attempt attempt, AttemptId owner, ClaimRow row) {
    Message.Dispatch dispatch = attempt.dispatch();
    if (!row.requestDigest().equals(RequestDigest.of(dispatch.call()))) {
      return AttemptCompletion.refuseUnadmitted(
          state, nowNanos, attempt, RefusalReason.DIGEST_MISMATCH);
    }
    if (row.answer().isEmpty()) {
      return waitForOwner(state, nowNanos, attempt, owner);
    }
    Result result = new Result.Answered(row.answer().get());
    AgentState next = AttemptCompletion.recordResult(state, nowNanos, dispatch.attempt(), result);
    return Step.<AgentState, AgentEffect>of(next)
        .andAll(
            attempt
                .requesters()
                .toVector()
                .map(requester -> Replies.reply(next, requester, dispatch.attempt(), result)));
  }

  private static Step<AgentState, AgentEffect> attachToLiveOwner(
      AgentState state, long nowNanos, Attempt attempt, AttemptId owner) {
    Attempt running = state.calls().live().get(owner).get();
    String digest = RequestDigest.of(running.dispatch().call());
    if (!digest.equals(RequestDigest.of(attempt.dispatch().call()))) {
      return AttemptCompletion.refuseUnadmitted(
          state, nowNanos, attempt, RefusalReason.DIGEST_MISMATCH);
    }
    return waitForOwner(state, nowNanos, attempt, owner);
  }

  private static Step<AgentState, AgentEffect> waitForOwner(
      AgentState state, long nowNanos, Attempt attempt, AttemptId owner) {
    AttemptId id = attempt.dispatch().attempt();
    AgentState next = CallAdmission.withAttempt(state, id, attempt.withPhase(Phase.AWAITING_OWNER));
    Vector<AttemptId> waiters = next.calls().waitersByOwner().getOrElse(owner, Vector.empty());
    return Step.of(
        next.withCalls(
            next.calls()
                .withWaitersByOwner(next.calls().waitersByOwner().put(owner, waiters.append(id)))),
        CallAdmission.deadlineTimer(nowNanos, attempt));
  }

  /** Starts writing the claim of an attempt. */
  static Step<AgentState, AgentEffect> writeClaim(AgentState state, Attempt attempt) {
    Message.Dispatch dispatch = attempt.dispatch();
    AgentState claiming =
        CallAdmission.withAttempt(state, dispatch.attempt(), attempt.withPhase(Phase.CLAIMING));
    AgentState next = addClaimsInFlight(claiming, 1);
    return Step.of(
        reserveKey(next, dispatch.attempt(), dispatch),
        new AgentEffect.WriteClaim(
            dispatch.attempt(),
            claimKey(dispatch).get(),
            claimRow(state, dispatch, ClaimState.STARTED, dispatch.fence(), Option.none()),
            dispatch.fence()));
  }

  private static ClaimRow claimRow(
      AgentState state,
      Message.Dispatch dispatch,
      ClaimState claimState,
      Fence fence,
      Option<ServiceAnswer> answer) {
    return new ClaimRow(
        state.properties().endpoint(),
        state.properties().incarnation(),
        dispatch.attempt(),
        RequestDigest.of(dispatch.call()),
        claimState,
        fence,
        answer);
  }

  /** Records the result of an attempt whose claim is still being written; prevents its call. */
  static AgentState abandon(AgentState state, long nowNanos, Attempt attempt, Result result) {
    AttemptId id = attempt.dispatch().attempt();
    return AttemptCompletion.recordResult(
        CallAdmission.withAttempt(state, id, attempt.withPhase(Phase.ABANDONED)),
        nowNanos,
        id,
        result);
  }

  static Step<AgentState, AgentEffect> claimWritten(
      AgentState state, long nowNanos, AttemptId id, ClaimWriteResult result) {
    Option<Attempt> live = state.calls().live().get(id);
    if (live.exists(attempt -> attempt.phase() == Phase.CLAIMING)) {
      return completeClaim(state, nowNanos, live.get(), result);
    }
    if (live.exists(attempt -> attempt.phase() == Phase.ABANDONED)) {
      boolean mayHoldClaim =
          result instanceof ClaimWriteResult.Claimed
              || result instanceof ClaimWriteResult.OutcomeUnknown;
      Result recorded = state.calls().finished().get(id).getOrElse(AttemptCompletion.CANCELLED);
      Step<AgentState, AgentEffect> step =
          mayHoldClaim ? releaseClaim(state, live.get().dispatch()) : Step.of(state);
      return ReducerSteps.then(step, next -> AttemptCompletion.end(next, nowNanos, id, recorded));
    }
    return Step.of(state);
  }

  private static Step<AgentState, AgentEffect> completeClaim(
      AgentState state, long nowNanos, Attempt attempt, ClaimWriteResult result) {
    AttemptId id = attempt.dispatch().attempt();
    if (result instanceof ClaimWriteResult.HeldByOther held) {
      return heldByOther(state, nowNanos, attempt, held.row());
    }
    if (result instanceof ClaimWriteResult.Claimed) {
      if (nowNanos < attempt.deadlineNanos() && !state.leaving()) {
        return CallAdmission.callOrQueue(
            addClaimsInFlight(state, -1), nowNanos, attempt.withPhase(Phase.CLAIMED));
      }
      RefusalReason reason =
          state.leaving() ? RefusalReason.LEAVING : RefusalReason.DEADLINE_EXCEEDED;
      return ReducerSteps.then(
          releaseClaim(state, attempt.dispatch()),
          next -> refuseNotRun(next, nowNanos, id, reason));
    }
    Step<AgentState, AgentEffect> step = Step.of(state);
    if (result instanceof ClaimWriteResult.OutcomeUnknown) {
      step = releaseClaim(state, attempt.dispatch());
    }
    return ReducerSteps.then(
        ReducerSteps.then(
            step, next -> refuseWaiters(next, nowNanos, id, RefusalReason.STORE_UNAVAILABLE)),
        next -> refuseNotRun(next, nowNanos, id, RefusalReason.STORE_UNAVAILABLE));
  }

  private static Step<AgentState, AgentEffect> refuseNotRun(
      AgentState state, long nowNanos, AttemptId id, RefusalReason reason) {
    return AttemptCompletion.refuse(state, nowNanos, id, reason, Outcome.NOT_RUN, Option.none());
  }

  private static Step<AgentState, AgentEffect> heldByOther(
      AgentState state, long nowNanos, Attempt attempt, ClaimRow row) {
    Message.Dispatch dispatch = attempt.dispatch();
    RefusalReason reason = RefusalReason.CLAIMED_BY_OTHER;
    if (row.state() != ClaimState.RELEASED
        && !row.requestDigest().equals(RequestDigest.of(dispatch.call()))) {
      reason = RefusalReason.DIGEST_MISMATCH;
    } else if (row.state() == ClaimState.STARTED
        && row.owner().equals(state.properties().endpoint())
        && row.incarnation().equals(state.properties().incarnation())) {
      return heldByEarlierAttempt(state, nowNanos, attempt, row);
    }
    return AttemptCompletion.refuse(
        state, nowNanos, dispatch.attempt(), reason, Outcome.NOT_RUN, Option.some(row));
  }

  /** Handles a row of an earlier attempt of this run that ended without a final row. */
  private static Step<AgentState, AgentEffect> heldByEarlierAttempt(
      AgentState state, long nowNanos, Attempt attempt, ClaimRow row) {
    AttemptId id = attempt.dispatch().attempt();
    Option<Result> ended = state.calls().finished().get(row.attempt());
    if (ended.isDefined() && ended.get() instanceof Result.Answered answered) {
      return AttemptCompletion.answer(state, nowNanos, id, answered.answer());
    }
    if (!state.calls().finished().didNotRun(row.attempt())) {
      RefusalReason reason =
          ended.isDefined() ? RefusalReason.ENDPOINT_FAILED : RefusalReason.RESULT_EVICTED;
      return AttemptCompletion.refuse(
          state, nowNanos, id, reason, Outcome.UNKNOWN, Option.some(row));
    }
    ClaimKey key = claimKey(attempt.dispatch()).get();
    ClaimRow released = releasedRow(row);
    return ReducerSteps.then(
        AttemptCompletion.refuse(
            state, nowNanos, id, RefusalReason.CLAIMED_BY_OTHER, Outcome.NOT_RUN, Option.some(row)),
        next -> storeRow(next, row.attempt(), new PendingRow(key, released, 0)));
  }

  private static ClaimRow releasedRow(ClaimRow row) {
    return new ClaimRow(
        row.owner(),
        row.incarnation(),
        row.attempt(),
        row.requestDigest(),
        ClaimState.RELEASED,
        new Fence(row.fence().value() + 1),
        Option.none());
  }

  static AgentState addClaimsInFlight(AgentState state, int change) {
    return state.withCalls(
        state.calls().withClaimsInFlight(state.calls().claimsInFlight() + change));
  }

  static Step<AgentState, AgentEffect> releaseClaim(AgentState state, Message.Dispatch dispatch) {
    ClaimRow started =
        claimRow(state, dispatch, ClaimState.STARTED, dispatch.fence(), Option.none());
    return storeRow(
        state,
        dispatch.attempt(),
        new PendingRow(claimKey(dispatch).get(), releasedRow(started), 0));
  }

  private static Step<AgentState, AgentEffect> storeRow(
      AgentState state, AttemptId id, PendingRow row) {
    CallState calls = state.calls();
    return Step.of(
        state.withCalls(
            calls
                .withPendingRows(calls.pendingRows().put(id, row))
                .withOwnersByKey(calls.ownersByKey().put(row.key(), id))),
        new AgentEffect.StoreAnswer(id, row.key(), row.row()));
  }

  /** Stores the answer of the service and replies to all attempts with the key. */
  static Step<AgentState, AgentEffect> callAnswered(
      AgentState state, long nowNanos, Attempt attempt, ServiceAnswer answer) {
    Message.Dispatch dispatch = attempt.dispatch();
    AttemptId id = dispatch.attempt();
    ClaimRow row =
        claimRow(state, dispatch, ClaimState.FINISHED, dispatch.fence(), Option.some(answer));
    Step<AgentState, AgentEffect> step =
        storeRow(state, id, new PendingRow(claimKey(dispatch).get(), row, 0));
    step = ReducerSteps.then(step, next -> AttemptCompletion.answer(next, nowNanos, id, answer));
    for (AttemptId waiter : liveWaiters(state, id)) {
      step =
          ReducerSteps.then(step, next -> AttemptCompletion.answer(next, nowNanos, waiter, answer));
    }
    return new Step<>(withoutWaiters(step.state(), id), step.effects());
  }

  /** Handles a failed call: releases the claim if the call did not run, else fails the waiters. */
  static Step<AgentState, AgentEffect> callFailed(
      AgentState state, long nowNanos, Attempt attempt, Outcome outcome) {
    AttemptId id = attempt.dispatch().attempt();
    Step<AgentState, AgentEffect> step =
        outcome == Outcome.NOT_RUN
            ? releaseClaim(state, attempt.dispatch())
            : failWaiters(state, nowNanos, id);
    return ReducerSteps.then(
        step,
        next ->
            AttemptCompletion.refuse(
                next, nowNanos, id, RefusalReason.ENDPOINT_FAILED, outcome, Option.none()));
  }

  private static Step<AgentState, AgentEffect> failWaiters(
      AgentState state, long nowNanos, AttemptId id) {
    Step<AgentState, AgentEffect> step = Step.of(state);
    for (AttemptId waiter : liveWaiters(state, id)) {
      step =
          ReducerSteps.then(
              step,
              next ->
                  AttemptCompletion.refuse(
                      next,
                      nowNanos,
                      waiter,
                      RefusalReason.ENDPOINT_FAILED,
                      Outcome.UNKNOWN,
                      Option.none()));
    }
    return new Step<>(withoutWaiters(step.state(), id), step.effects());
  }

  static Step<AgentState, AgentEffect> refuseWaiters(
      AgentState state, long nowNanos, AttemptId id, RefusalReason reason) {
    Step<AgentState, AgentEffect> step = Step.of(state);
    for (AttemptId waiter : liveWaiters(state, id)) {
      step = ReducerSteps.then(step, next -> refuseNotRun(next, nowNanos, waiter, reason));
    }
    return new Step<>(withoutWaiters(step.state(), id), step.effects());
  }

  /**
   * Frees the key of an ended attempt and admits its waiters again. Does nothing while a final row
   * of the attempt is still to be stored.
   */
  static Step<AgentState, AgentEffect> freeKey(
      AgentState state, long nowNanos, AttemptId id, Message.Dispatch dispatch) {
    CallState calls = state.calls();
    Option<ClaimKey> key = claimKey(dispatch).filter(k -> calls.ownersByKey().get(k).contains(id));
    if (key.isEmpty() || calls.pendingRows().containsKey(id)) {
      return Step.of(state);
    }
    Vector<Attempt> waiters = liveWaiters(state, id).map(waiter -> calls.live().get(waiter).get());
    AgentState next =
        withoutWaiters(
            state.withCalls(calls.withOwnersByKey(calls.ownersByKey().remove(key.get()))), id);
    Step<AgentState, AgentEffect> step = Step.of(next);
    for (Attempt waiter : waiters) {
      step = ReducerSteps.then(step, latest -> readmit(latest, nowNanos, waiter));
    }
    return step;
  }

  private static Step<AgentState, AgentEffect> readmit(
      AgentState state, long nowNanos, Attempt attempt) {
    CallState calls = state.calls();
    return CallAdmission.admit(
        state.withCalls(calls.withLive(calls.live().remove(attempt.dispatch().attempt()))),
        nowNanos,
        attempt);
  }

  static Vector<AttemptId> liveWaiters(AgentState state, AttemptId id) {
    CallState calls = state.calls();
    return calls
        .waitersByOwner()
        .getOrElse(id, Vector.empty())
        .filter(waiter -> calls.live().get(waiter).exists(a -> a.phase() == Phase.AWAITING_OWNER));
  }

  static AgentState withoutWaiters(AgentState state, AttemptId id) {
    CallState calls = state.calls();
    return state.withCalls(calls.withWaitersByOwner(calls.waitersByOwner().remove(id)));
  }
}
