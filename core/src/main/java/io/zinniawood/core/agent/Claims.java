package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.agent.FinishedAttempts.Result;
import io.zinniawood.core.agent.GateState.Attempt;
import io.zinniawood.core.agent.GateState.PendingRow;
import io.zinniawood.core.agent.GateState.Phase;
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

/** Claims of idempotency keys: one attempt of a key calls the service, the others wait for it. */
final class Claims {
  private Claims() {}

  static Option<ClaimKey> keyOf(Message.Dispatch work) {
    return work.key().map(key -> new ClaimKey(work.clientAccount(), work.service(), key));
  }

  static AgentState reserveKey(AgentState state, AttemptId id, Message.Dispatch work) {
    return keyOf(work)
        .map(key -> state.withGate(state.gate().withKeys(state.gate().keys().put(key, id))))
        .getOrElse(state);
  }

  /** Attaches an attempt to the one that holds its key; none if the key is free. */
  static Option<Step<AgentState, AgentEffect>> attachToKey(
      AgentState state, long nowNanos, Attempt attempt) {
    GateState gate = state.gate();
    return keyOf(attempt.dispatch())
        .flatMap(key -> gate.keys().get(key))
        .map(
            owner ->
                gate.storing()
                    .get(owner)
                    .map(row -> attachToRow(state, nowNanos, attempt, owner, row.row()))
                    .getOrElse(() -> attachToLive(state, nowNanos, attempt, owner)));
  }

  private static Step<AgentState, AgentEffect> attachToRow(
      AgentState state, long nowNanos, Attempt attempt, AttemptId owner, ClaimRow row) {
    Message.Dispatch work = attempt.dispatch();
    if (!row.requestDigest().equals(RequestDigest.of(work.call()))) {
      return Ending.refuseNew(state, nowNanos, attempt, RefusalReason.DIGEST_MISMATCH);
    }
    if (row.answer().isEmpty()) {
      return await(state, nowNanos, attempt, owner);
    }
    Result result = new Result.Answered(row.answer().get());
    AgentState next = Ending.remember(state, nowNanos, work.attempt(), result);
    return Step.<AgentState, AgentEffect>of(next)
        .andAll(
            attempt
                .askers()
                .toVector()
                .map(asker -> Replies.result(next, asker, work.attempt(), result)));
  }

  private static Step<AgentState, AgentEffect> attachToLive(
      AgentState state, long nowNanos, Attempt attempt, AttemptId owner) {
    Attempt running = state.gate().live().get(owner).get();
    String digest = RequestDigest.of(running.dispatch().call());
    if (!digest.equals(RequestDigest.of(attempt.dispatch().call()))) {
      return Ending.refuseNew(state, nowNanos, attempt, RefusalReason.DIGEST_MISMATCH);
    }
    return await(state, nowNanos, attempt, owner);
  }

  private static Step<AgentState, AgentEffect> await(
      AgentState state, long nowNanos, Attempt attempt, AttemptId owner) {
    AttemptId id = attempt.dispatch().attempt();
    AgentState next = Gate.withAttempt(state, id, attempt.with(Phase.WAITING));
    Vector<AttemptId> waiters = next.gate().waiting().getOrElse(owner, Vector.empty());
    return Step.of(
        next.withGate(
            next.gate().withWaiting(next.gate().waiting().put(owner, waiters.append(id)))),
        Gate.deadlineTimer(nowNanos, attempt));
  }

  /** Writes the claim of an attempt. */
  static Step<AgentState, AgentEffect> begin(AgentState state, Attempt attempt) {
    Message.Dispatch work = attempt.dispatch();
    AgentState claiming = Gate.withAttempt(state, work.attempt(), attempt.with(Phase.CLAIMING));
    AgentState next = withClaiming(claiming, 1);
    return Step.of(
        reserveKey(next, work.attempt(), work),
        new AgentEffect.WriteClaim(
            work.attempt(),
            keyOf(work).get(),
            row(state, work, ClaimState.STARTED, work.fence(), Option.none()),
            work.fence()));
  }

  private static ClaimRow row(
      AgentState state,
      Message.Dispatch work,
      ClaimState claimState,
      Fence fence,
      Option<ServiceAnswer> answer) {
    return new ClaimRow(
        state.self().endpoint(),
        state.self().incarnation(),
        work.attempt(),
        RequestDigest.of(work.call()),
        claimState,
        fence,
        answer);
  }

  /** Marks an attempt whose claim is being written as ended. */
  static AgentState abandon(AgentState state, long nowNanos, Attempt attempt, Result result) {
    AttemptId id = attempt.dispatch().attempt();
    return Ending.remember(
        Gate.withAttempt(state, id, attempt.with(Phase.ABANDONED)), nowNanos, id, result);
  }

  static Step<AgentState, AgentEffect> written(
      AgentState state, long nowNanos, AttemptId id, ClaimWrite result) {
    Option<Attempt> live = state.gate().live().get(id);
    if (live.exists(attempt -> attempt.phase() == Phase.CLAIMING)) {
      return claimed(state, nowNanos, live.get(), result);
    }
    if (live.exists(attempt -> attempt.phase() == Phase.ABANDONED)) {
      boolean mayName =
          result instanceof ClaimWrite.Claimed || result instanceof ClaimWrite.Unavailable;
      Result kept = state.gate().finished().get(id).getOrElse(Ending.CANCELLED);
      Step<AgentState, AgentEffect> step =
          mayName ? release(state, live.get().dispatch()) : Step.of(state);
      return Change.then(step, next -> Ending.end(next, nowNanos, id, kept));
    }
    return Step.of(state);
  }

  private static Step<AgentState, AgentEffect> claimed(
      AgentState state, long nowNanos, Attempt attempt, ClaimWrite result) {
    AttemptId id = attempt.dispatch().attempt();
    if (result instanceof ClaimWrite.HeldByOther held) {
      return heldByOther(state, nowNanos, attempt, held.row());
    }
    if (result instanceof ClaimWrite.Claimed) {
      if (nowNanos < attempt.deadlineNanos() && !state.leaving()) {
        return Gate.placeOrQueue(withClaiming(state, -1), nowNanos, attempt.with(Phase.CLAIMED));
      }
      RefusalReason reason =
          state.leaving() ? RefusalReason.LEAVING : RefusalReason.DEADLINE_EXCEEDED;
      return Change.then(
          release(state, attempt.dispatch()), next -> refuseNotRun(next, nowNanos, id, reason));
    }
    Step<AgentState, AgentEffect> step = Step.of(state);
    if (result instanceof ClaimWrite.Unavailable) {
      step = release(state, attempt.dispatch());
    }
    return Change.then(
        Change.then(
            step, next -> refuseWaiters(next, nowNanos, id, RefusalReason.STORE_UNAVAILABLE)),
        next -> refuseNotRun(next, nowNanos, id, RefusalReason.STORE_UNAVAILABLE));
  }

  private static Step<AgentState, AgentEffect> refuseNotRun(
      AgentState state, long nowNanos, AttemptId id, RefusalReason reason) {
    return Ending.refuse(state, nowNanos, id, reason, Outcome.NOT_RUN, Option.none());
  }

  private static Step<AgentState, AgentEffect> heldByOther(
      AgentState state, long nowNanos, Attempt attempt, ClaimRow row) {
    Message.Dispatch work = attempt.dispatch();
    RefusalReason reason = RefusalReason.CLAIMED_BY_OTHER;
    if (row.state() != ClaimState.RELEASED
        && !row.requestDigest().equals(RequestDigest.of(work.call()))) {
      reason = RefusalReason.DIGEST_MISMATCH;
    } else if (row.state() == ClaimState.STARTED
        && row.owner().equals(state.self().endpoint())
        && row.incarnation().equals(state.self().incarnation())) {
      return heldHere(state, nowNanos, attempt, row);
    }
    return Ending.refuse(
        state, nowNanos, work.attempt(), reason, Outcome.NOT_RUN, Option.some(row));
  }

  /** The row names an earlier attempt of this agent that ended without a final row. */
  private static Step<AgentState, AgentEffect> heldHere(
      AgentState state, long nowNanos, Attempt attempt, ClaimRow row) {
    AttemptId id = attempt.dispatch().attempt();
    Option<Result> ended = state.gate().finished().get(row.attempt());
    if (ended.isDefined() && ended.get() instanceof Result.Answered answered) {
      return Ending.answer(state, nowNanos, id, answered.answer());
    }
    if (!state.gate().finished().notRun(row.attempt())) {
      RefusalReason reason =
          ended.isDefined() ? RefusalReason.ENDPOINT_FAILED : RefusalReason.RESULT_EVICTED;
      return Ending.refuse(state, nowNanos, id, reason, Outcome.UNKNOWN, Option.some(row));
    }
    ClaimKey key = keyOf(attempt.dispatch()).get();
    ClaimRow released = released(row);
    return Change.then(
        Ending.refuse(
            state, nowNanos, id, RefusalReason.CLAIMED_BY_OTHER, Outcome.NOT_RUN, Option.some(row)),
        next -> storeRow(next, row.attempt(), new PendingRow(key, released, 0)));
  }

  private static ClaimRow released(ClaimRow row) {
    return new ClaimRow(
        row.owner(),
        row.incarnation(),
        row.attempt(),
        row.requestDigest(),
        ClaimState.RELEASED,
        new Fence(row.fence().value() + 1),
        Option.none());
  }

  static AgentState withClaiming(AgentState state, int change) {
    return state.withGate(state.gate().withClaiming(state.gate().claiming() + change));
  }

  static Step<AgentState, AgentEffect> release(AgentState state, Message.Dispatch work) {
    ClaimRow started = row(state, work, ClaimState.STARTED, work.fence(), Option.none());
    return storeRow(state, work.attempt(), new PendingRow(keyOf(work).get(), released(started), 0));
  }

  private static Step<AgentState, AgentEffect> storeRow(
      AgentState state, AttemptId id, PendingRow row) {
    GateState gate = state.gate();
    return Step.of(
        state.withGate(
            gate.withStoring(gate.storing().put(id, row)).withKeys(gate.keys().put(row.key(), id))),
        new AgentEffect.StoreAnswer(id, row.key(), row.row()));
  }

  /** The service answered: stores the answer and gives it to all attempts of the key. */
  static Step<AgentState, AgentEffect> answered(
      AgentState state, long nowNanos, Attempt attempt, ServiceAnswer answer) {
    Message.Dispatch work = attempt.dispatch();
    AttemptId id = work.attempt();
    ClaimRow row = row(state, work, ClaimState.FINISHED, work.fence(), Option.some(answer));
    Step<AgentState, AgentEffect> step =
        storeRow(state, id, new PendingRow(keyOf(work).get(), row, 0));
    step = Change.then(step, next -> Ending.answer(next, nowNanos, id, answer));
    for (AttemptId waiter : liveWaiters(state, id)) {
      step = Change.then(step, next -> Ending.answer(next, nowNanos, waiter, answer));
    }
    return new Step<>(withoutWaiters(step.state(), id), step.effects());
  }

  /** The call failed: releases the claim if it did not run. */
  static Step<AgentState, AgentEffect> failed(
      AgentState state, long nowNanos, Attempt attempt, Outcome outcome) {
    AttemptId id = attempt.dispatch().attempt();
    Step<AgentState, AgentEffect> step =
        outcome == Outcome.NOT_RUN
            ? release(state, attempt.dispatch())
            : failWaiters(state, nowNanos, id);
    return Change.then(
        step,
        next ->
            Ending.refuse(
                next, nowNanos, id, RefusalReason.ENDPOINT_FAILED, outcome, Option.none()));
  }

  private static Step<AgentState, AgentEffect> failWaiters(
      AgentState state, long nowNanos, AttemptId id) {
    Step<AgentState, AgentEffect> step = Step.of(state);
    for (AttemptId waiter : liveWaiters(state, id)) {
      step =
          Change.then(
              step,
              next ->
                  Ending.refuse(
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
      step = Change.then(step, next -> refuseNotRun(next, nowNanos, waiter, reason));
    }
    return new Step<>(withoutWaiters(step.state(), id), step.effects());
  }

  /** Frees the key of an ended attempt unless its row is not final; admits its waiters again. */
  static Step<AgentState, AgentEffect> releaseKey(
      AgentState state, long nowNanos, AttemptId id, Message.Dispatch work) {
    GateState gate = state.gate();
    Option<ClaimKey> key = keyOf(work).filter(k -> gate.keys().get(k).contains(id));
    if (key.isEmpty() || gate.storing().containsKey(id)) {
      return Step.of(state);
    }
    Vector<Attempt> waiters = liveWaiters(state, id).map(waiter -> gate.live().get(waiter).get());
    AgentState next =
        withoutWaiters(state.withGate(gate.withKeys(gate.keys().remove(key.get()))), id);
    Step<AgentState, AgentEffect> step = Step.of(next);
    for (Attempt waiter : waiters) {
      step = Change.then(step, now -> admitAgain(now, nowNanos, waiter));
    }
    return step;
  }

  private static Step<AgentState, AgentEffect> admitAgain(
      AgentState state, long nowNanos, Attempt attempt) {
    GateState gate = state.gate();
    return Gate.admit(
        state.withGate(gate.withLive(gate.live().remove(attempt.dispatch().attempt()))),
        nowNanos,
        attempt);
  }

  static Vector<AttemptId> liveWaiters(AgentState state, AttemptId id) {
    GateState gate = state.gate();
    return gate.waiting()
        .getOrElse(id, Vector.empty())
        .filter(waiter -> gate.live().get(waiter).exists(a -> a.phase() == Phase.WAITING));
  }

  static AgentState withoutWaiters(AgentState state, AttemptId id) {
    GateState gate = state.gate();
    return state.withGate(gate.withWaiting(gate.waiting().remove(id)));
  }
}
