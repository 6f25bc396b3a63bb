package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.agent.CallState.Attempt;
import io.zinniawood.core.agent.CallState.Phase;
import io.zinniawood.core.agent.FinishedAttempts.Result;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.runtime.Step;

/** Ends attempts: records the result, replies, and frees the call slot and the key. */
final class AttemptCompletion {
  static final Result CANCELLED =
      new Result.Refused(RefusalReason.CANCELLED, Outcome.NOT_RUN, Option.none());

  private AttemptCompletion() {}

  /**
   * Refuses an attempt that is not live. The refusal is recorded, so that a later copy is refused
   * as well, unless the set of evicted attempts is full.
   */
  static Step<AgentState, AgentEffect> refuseUnadmitted(
      AgentState state, long nowNanos, Attempt attempt, RefusalReason reason) {
    Message.Dispatch dispatch = attempt.dispatch();
    Result result = new Result.Refused(reason, Outcome.NOT_RUN, Option.none());
    boolean full = state.calls().finished().evicted().isFull(nowNanos);
    AgentState next = full ? state : recordResult(state, nowNanos, dispatch.attempt(), result);
    return Step.<AgentState, AgentEffect>of(next)
        .andAll(
            attempt
                .requesters()
                .toVector()
                .map(requester -> Replies.reply(next, requester, dispatch.attempt(), result)));
  }

  /** Ends a live attempt with a refusal or failure and replies to its requesters. */
  static Step<AgentState, AgentEffect> refuse(
      AgentState state,
      long nowNanos,
      AttemptId id,
      RefusalReason reason,
      Outcome outcome,
      Option<ClaimRow> claim) {
    Attempt attempt = state.calls().live().get(id).get();
    Vector<AgentEffect> refusals =
        attempt
            .requesters()
            .toVector()
            .map(requester -> Replies.refusal(requester, id, reason, outcome, claim));
    return ReducerSteps.then(
        Step.<AgentState, AgentEffect>of(state).andAll(refusals),
        next -> end(next, nowNanos, id, new Result.Refused(reason, outcome, claim)));
  }

  /** Ends a live attempt with the service's answer and replies to its requesters. */
  static Step<AgentState, AgentEffect> answer(
      AgentState state, long nowNanos, AttemptId id, ServiceAnswer answer) {
    Attempt attempt = state.calls().live().get(id).get();
    Result result = new Result.Answered(answer);
    Step<AgentState, AgentEffect> ended = end(state, nowNanos, id, result);
    Vector<AgentEffect> replies =
        attempt
            .requesters()
            .toVector()
            .map(requester -> Replies.reply(ended.state(), requester, id, result));
    return new Step<>(ended.state(), replies.appendAll(ended.effects()));
  }

  /** Ends a live attempt without a reply: records its result, frees its call slot and its key. */
  static Step<AgentState, AgentEffect> end(
      AgentState state, long nowNanos, AttemptId id, Result result) {
    Attempt attempt = state.calls().live().get(id).get();
    CallState calls = state.calls();
    CallState without =
        calls
            .withLive(calls.live().remove(id))
            .withQueue(calls.queue().remove(attempt.dispatch().clientAccount(), id))
            .withClaimsInFlight(
                isClaimInFlight(attempt) ? calls.claimsInFlight() - 1 : calls.claimsInFlight())
            .withRunningCalls(
                attempt.phase() == Phase.CALLING ? calls.runningCalls() - 1 : calls.runningCalls());
    AgentState next = recordResult(state.withCalls(without), nowNanos, id, result);
    Step<AgentState, AgentEffect> step =
        attempt.queued() || attempt.phase() == Phase.AWAITING_OWNER
            ? Step.of(next, new AgentEffect.CancelTimer(new AgentTimer.QueueDeadline(id)))
            : Step.of(next);
    if (attempt.phase() == Phase.CLAIMED) {
      step = ReducerSteps.then(step, latest -> KeyClaims.releaseClaim(latest, attempt.dispatch()));
    }
    return ReducerSteps.then(
        ReducerSteps.then(
            step, latest -> KeyClaims.freeKey(latest, nowNanos, id, attempt.dispatch())),
        latest -> CallAdmission.startQueuedCalls(latest, nowNanos));
  }

  static AgentState recordResult(AgentState state, long nowNanos, AttemptId id, Result result) {
    FinishedAttempts finished = state.calls().finished().add(id, result, nowNanos);
    return state.withCalls(state.calls().withFinished(finished));
  }

  private static boolean isClaimInFlight(Attempt attempt) {
    return attempt.phase() == Phase.CLAIMING || attempt.phase() == Phase.ABANDONED;
  }
}
