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

/** Ends attempts: remembers the result, answers, and hands the place and the key on. */
final class AttemptCompletion {
  static final Result CANCELLED =
      new Result.Refused(RefusalReason.CANCELLED, Outcome.NOT_RUN, Option.none());

  private AttemptCompletion() {}

  /** Refuses an attempt that is not in the state; a later copy is refused as well. */
  static Step<AgentState, AgentEffect> refuseUnadmitted(
      AgentState state, long nowNanos, Attempt attempt, RefusalReason reason) {
    Message.Dispatch work = attempt.dispatch();
    Result result = new Result.Refused(reason, Outcome.NOT_RUN, Option.none());
    boolean full = state.calls().finished().evicted().isFull(nowNanos);
    AgentState next = full ? state : recordResult(state, nowNanos, work.attempt(), result);
    return Step.<AgentState, AgentEffect>of(next)
        .andAll(
            attempt
                .requesters()
                .toVector()
                .map(asker -> Replies.reply(next, asker, work.attempt(), result)));
  }

  /** Refuses or fails a live attempt. */
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
            .map(asker -> Replies.refusal(asker, id, reason, outcome, claim));
    return ReducerSteps.then(
        Step.<AgentState, AgentEffect>of(state).andAll(refusals),
        next -> end(next, nowNanos, id, new Result.Refused(reason, outcome, claim)));
  }

  /** Answers a live attempt. */
  static Step<AgentState, AgentEffect> answer(
      AgentState state, long nowNanos, AttemptId id, ServiceAnswer answer) {
    Attempt attempt = state.calls().live().get(id).get();
    Result result = new Result.Answered(answer);
    Step<AgentState, AgentEffect> ended = end(state, nowNanos, id, result);
    Vector<AgentEffect> replies =
        attempt
            .requesters()
            .toVector()
            .map(asker -> Replies.reply(ended.state(), asker, id, result));
    return new Step<>(ended.state(), replies.appendAll(ended.effects()));
  }

  /** Ends a live attempt without a message: frees its place and its key. */
  static Step<AgentState, AgentEffect> end(
      AgentState state, long nowNanos, AttemptId id, Result result) {
    Attempt attempt = state.calls().live().get(id).get();
    CallState gate = state.calls();
    CallState without =
        gate.withLive(gate.live().remove(id))
            .withQueue(gate.queue().remove(attempt.dispatch().clientAccount(), id))
            .withClaimsInFlight(
                isClaimInFlight(attempt) ? gate.claimsInFlight() - 1 : gate.claimsInFlight())
            .withRunningCalls(
                attempt.phase() == Phase.CALLING ? gate.runningCalls() - 1 : gate.runningCalls());
    AgentState next = recordResult(state.withCalls(without), nowNanos, id, result);
    Step<AgentState, AgentEffect> step =
        attempt.queued() || attempt.phase() == Phase.AWAITING_OWNER
            ? Step.of(next, new AgentEffect.CancelTimer(new AgentTimer.QueueDeadline(id)))
            : Step.of(next);
    if (attempt.phase() == Phase.CLAIMED) {
      step = ReducerSteps.then(step, now -> KeyClaims.releaseClaim(now, attempt.dispatch()));
    }
    return ReducerSteps.then(
        ReducerSteps.then(step, now -> KeyClaims.freeKey(now, nowNanos, id, attempt.dispatch())),
        now -> CallAdmission.startQueuedCalls(now, nowNanos));
  }

  static AgentState recordResult(AgentState state, long nowNanos, AttemptId id, Result result) {
    FinishedAttempts finished = state.calls().finished().add(id, result, nowNanos);
    return state.withCalls(state.calls().withFinished(finished));
  }

  private static boolean isClaimInFlight(Attempt attempt) {
    return attempt.phase() == Phase.CLAIMING || attempt.phase() == Phase.ABANDONED;
  }
}
