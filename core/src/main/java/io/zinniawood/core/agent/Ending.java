package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.agent.FinishedAttempts.Result;
import io.zinniawood.core.agent.GateState.Attempt;
import io.zinniawood.core.agent.GateState.Phase;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.runtime.Step;

/** Ends attempts: remembers the result, answers, and hands the place and the key on. */
final class Ending {
  static final Result CANCELLED =
      new Result.Refused(RefusalReason.CANCELLED, Outcome.NOT_RUN, Option.none());

  private Ending() {}

  /** Refuses an attempt that is not in the state; a later copy is refused as well. */
  static Step<AgentState, AgentEffect> refuseNew(
      AgentState state, long nowNanos, Attempt attempt, RefusalReason reason) {
    Message.Dispatch work = attempt.dispatch();
    Result result = new Result.Refused(reason, Outcome.NOT_RUN, Option.none());
    boolean full = state.gate().finished().evicted().full(nowNanos);
    AgentState next = full ? state : remember(state, nowNanos, work.attempt(), result);
    return Step.<AgentState, AgentEffect>of(next)
        .andAll(
            attempt
                .askers()
                .toVector()
                .map(asker -> Replies.result(next, asker, work.attempt(), result)));
  }

  /** Refuses or fails a live attempt. */
  static Step<AgentState, AgentEffect> refuse(
      AgentState state,
      long nowNanos,
      AttemptId id,
      RefusalReason reason,
      Outcome outcome,
      Option<ClaimRow> claim) {
    Attempt attempt = state.gate().live().get(id).get();
    Vector<AgentEffect> refusals =
        attempt
            .askers()
            .toVector()
            .map(asker -> Replies.refusal(asker, id, reason, outcome, claim));
    return Change.then(
        Step.<AgentState, AgentEffect>of(state).andAll(refusals),
        next -> end(next, nowNanos, id, new Result.Refused(reason, outcome, claim)));
  }

  /** Answers a live attempt. */
  static Step<AgentState, AgentEffect> answer(
      AgentState state, long nowNanos, AttemptId id, ServiceAnswer answer) {
    Attempt attempt = state.gate().live().get(id).get();
    Result result = new Result.Answered(answer);
    Step<AgentState, AgentEffect> ended = end(state, nowNanos, id, result);
    Vector<AgentEffect> replies =
        attempt.askers().toVector().map(asker -> Replies.result(ended.state(), asker, id, result));
    return new Step<>(ended.state(), replies.appendAll(ended.effects()));
  }

  /** Ends a live attempt without a message: frees its place and its key. */
  static Step<AgentState, AgentEffect> end(
      AgentState state, long nowNanos, AttemptId id, Result result) {
    Attempt attempt = state.gate().live().get(id).get();
    GateState gate = state.gate();
    GateState without =
        gate.withLive(gate.live().remove(id))
            .withQueue(gate.queue().remove(attempt.dispatch().clientAccount(), id))
            .withClaiming(claims(attempt) ? gate.claiming() - 1 : gate.claiming())
            .withRunning(attempt.phase() == Phase.CALLING ? gate.running() - 1 : gate.running());
    AgentState next = remember(state.withGate(without), nowNanos, id, result);
    Step<AgentState, AgentEffect> step =
        attempt.queued() || attempt.phase() == Phase.WAITING
            ? Step.of(next, new AgentEffect.CancelTimer(new AgentTimer.QueueDeadline(id)))
            : Step.of(next);
    if (attempt.phase() == Phase.CLAIMED) {
      step = Change.then(step, now -> Claims.release(now, attempt.dispatch()));
    }
    return Change.then(
        Change.then(step, now -> Claims.releaseKey(now, nowNanos, id, attempt.dispatch())),
        now -> Gate.startNext(now, nowNanos));
  }

  static AgentState remember(AgentState state, long nowNanos, AttemptId id, Result result) {
    FinishedAttempts finished = state.gate().finished().add(id, result, nowNanos);
    return state.withGate(state.gate().withFinished(finished));
  }

  private static boolean claims(Attempt attempt) {
    return attempt.phase() == Phase.CLAIMING || attempt.phase() == Phase.ABANDONED;
  }
}
