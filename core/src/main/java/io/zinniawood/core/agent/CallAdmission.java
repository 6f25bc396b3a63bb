package io.zinniawood.core.agent;

import io.vavr.Tuple2;
import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.agent.CallState.Attempt;
import io.zinniawood.core.agent.CallState.Phase;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.runtime.Step;

/** Admits, queues and cancels plain service calls. Runs each attempt at most once. */
final class CallAdmission {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Longer deadlines are cut to 24 h, so that their nanoseconds do not overflow. */
  private static final long MAX_DEADLINE_MILLIS = 86_400_000;

  /** Queue capacity per call of the concurrency limit. */
  private static final int QUEUE_CAPACITY_PER_CALL = 4;

  private static final int MIN_QUEUE_CAPACITY = 64;

  /** More claims would only queue in the client of the table while the table is slow. */
  private static final int MAX_CLAIMS_IN_FLIGHT = 64;

  /** Bounds the memory of attempts that wait for the owner of their key. */
  private static final int MAX_LIVE_ATTEMPTS = 4_096;

  private CallAdmission() {}

  static Step<AgentState, AgentEffect> dispatch(
      AgentState state, long nowNanos, PeerId peer, Message.Dispatch dispatch) {
    AttemptId id = dispatch.attempt();
    if (!dispatch.incarnation().equals(state.properties().incarnation())) {
      return Step.of(
          state,
          Replies.refusal(
              Requester.of(peer, dispatch),
              id,
              RefusalReason.WRONG_INCARNATION,
              Outcome.NOT_RUN,
              Option.none()));
    }
    Option<FinishedAttempts.Result> ended = state.calls().finished().get(id);
    if (ended.isDefined()) {
      return Step.of(state, Replies.reply(state, Requester.of(peer, dispatch), id, ended.get()));
    }
    if (state.calls().finished().evicted().contains(id)) {
      return Step.of(
          state,
          Replies.refusal(
              Requester.of(peer, dispatch),
              id,
              RefusalReason.RESULT_EVICTED,
              Outcome.UNKNOWN,
              Option.none()));
    }
    Option<Attempt> live = state.calls().live().get(id);
    if (live.isDefined()) {
      return Step.of(
          withAttempt(state, id, live.get().withRequester(Requester.of(peer, dispatch))));
    }
    long remainingMillis = Math.min(dispatch.remainingMillis(), MAX_DEADLINE_MILLIS);
    long deadlineNanos = nowNanos + remainingMillis * NANOS_PER_MILLI;
    return admit(
        state,
        nowNanos,
        new Attempt(
            dispatch, HashSet.of(Requester.of(peer, dispatch)), Phase.QUEUED, deadlineNanos, 0));
  }

  /** Admits or refuses an attempt that is not live. */
  static Step<AgentState, AgentEffect> admit(AgentState state, long nowNanos, Attempt attempt) {
    Option<RefusalReason> reason = refusalReason(state, nowNanos, attempt);
    if (reason.isDefined()) {
      return AttemptCompletion.refuseUnadmitted(state, nowNanos, attempt, reason.get());
    }
    return KeyClaims.attachToKeyOwner(state, nowNanos, attempt)
        .getOrElse(() -> admitWithinLimits(state, nowNanos, attempt));
  }

  private static Option<RefusalReason> refusalReason(
      AgentState state, long nowNanos, Attempt attempt) {
    CallState calls = state.calls();
    if (state.leaving()) {
      return Option.some(RefusalReason.LEAVING);
    }
    if (!serves(state, attempt.dispatch())) {
      return Option.some(RefusalReason.NOT_SERVED);
    }
    if (nowNanos >= attempt.deadlineNanos()) {
      return Option.some(RefusalReason.DEADLINE_EXCEEDED);
    }
    if (calls.live().size() >= MAX_LIVE_ATTEMPTS || calls.finished().evicted().isFull(nowNanos)) {
      return Option.some(RefusalReason.OVERLOADED);
    }
    return Option.none();
  }

  private static boolean serves(AgentState state, Message.Dispatch dispatch) {
    return state
        .capability()
        .exists(
            capability ->
                capability instanceof Capability.PlainService plain
                    && plain.service().equals(dispatch.service()));
  }

  private static Step<AgentState, AgentEffect> admitWithinLimits(
      AgentState state, long nowNanos, Attempt attempt) {
    CallState calls = state.calls();
    int limit = state.properties().maxConcurrentCalls();
    if (callMayStart(state, nowNanos) && calls.queue().size() == 0) {
      return claimOrCall(state, nowNanos, attempt);
    }
    Message.Dispatch dispatch = attempt.dispatch();
    long position = calls.queue().positionOfNew(dispatch.clientAccount(), dispatch.weight());
    long waitNanos =
        Math.max(
            position * calls.meanCallNanos() / limit,
            calls.rate().nanosUntilCall(position, nowNanos));
    if (nowNanos + waitNanos >= attempt.deadlineNanos()) {
      return AttemptCompletion.refuseUnadmitted(state, nowNanos, attempt, RefusalReason.OVERLOADED);
    }
    if (calls.queue().size() < Math.max(MIN_QUEUE_CAPACITY, QUEUE_CAPACITY_PER_CALL * limit)) {
      return claimOrCall(state, nowNanos, attempt);
    }
    if (!calls.queue().wouldStayBelowLargest(dispatch.clientAccount(), dispatch.weight())) {
      return AttemptCompletion.refuseUnadmitted(state, nowNanos, attempt, RefusalReason.OVERLOADED);
    }
    AttemptId displaced = calls.queue().newestOfLargestAccount().get();
    return ReducerSteps.then(
        AttemptCompletion.refuse(
            state, nowNanos, displaced, RefusalReason.OVERLOADED, Outcome.NOT_RUN, Option.none()),
        next -> claimOrCall(next, nowNanos, attempt));
  }

  /**
   * Starts an attempt for which the queue has capacity. An attempt with a key claims it before it
   * takes a call slot, so that a slow table does not delay calls without a key.
   */
  private static Step<AgentState, AgentEffect> claimOrCall(
      AgentState state, long nowNanos, Attempt attempt) {
    if (attempt.dispatch().key().isEmpty()) {
      return callOrQueue(state, nowNanos, attempt.withPhase(Phase.QUEUED));
    }
    return state.calls().claimsInFlight() < MAX_CLAIMS_IN_FLIGHT
        ? KeyClaims.writeClaim(state, attempt)
        : AttemptCompletion.refuseUnadmitted(state, nowNanos, attempt, RefusalReason.OVERLOADED);
  }

  /** Calls the service if a call slot is free, else queues the attempt in its current phase. */
  static Step<AgentState, AgentEffect> callOrQueue(
      AgentState state, long nowNanos, Attempt attempt) {
    if (callMayStart(state, nowNanos) && state.calls().queue().size() == 0) {
      return startCall(state, nowNanos, attempt);
    }
    Message.Dispatch dispatch = attempt.dispatch();
    AgentState next = withAttempt(state, dispatch.attempt(), attempt);
    FairQueue queue =
        next.calls().queue().add(dispatch.clientAccount(), dispatch.weight(), dispatch.attempt());
    AgentState queued = next.withCalls(next.calls().withQueue(queue));
    return Step.of(queued, deadlineTimer(nowNanos, attempt)).andAll(permitTimer(queued, nowNanos));
  }

  private static boolean callMayStart(AgentState state, long nowNanos) {
    CallState calls = state.calls();
    return calls.runningCalls() < state.properties().maxConcurrentCalls()
        && calls.rate().permitsCall(nowNanos);
  }

  /** Returns the timer for the next call if calls wait for the limit that the service names. */
  private static Vector<AgentEffect> permitTimer(AgentState state, long nowNanos) {
    long waitNanos = state.calls().rate().nanosUntilCall(0, nowNanos);
    return waitNanos == 0 || state.calls().queue().size() == 0
        ? Vector.empty()
        : Vector.of(new AgentEffect.StartTimer(new AgentTimer.CallPermitted(), waitNanos));
  }

  static AgentEffect deadlineTimer(long nowNanos, Attempt attempt) {
    return new AgentEffect.StartTimer(
        new AgentTimer.QueueDeadline(attempt.dispatch().attempt()),
        Math.max(0, attempt.deadlineNanos() - nowNanos));
  }

  /** Starts queued attempts while call slots are free. */
  static Step<AgentState, AgentEffect> startQueuedCalls(AgentState state, long nowNanos) {
    Step<AgentState, AgentEffect> step = Step.of(state);
    while (callMayStart(step.state(), nowNanos) && !step.state().leaving()) {
      Option<Tuple2<AttemptId, FairQueue>> polled = step.state().calls().queue().poll();
      if (polled.isEmpty()) {
        break;
      }
      step = ReducerSteps.then(step, latest -> startQueuedCall(latest, nowNanos, polled.get()));
    }
    return step.andAll(permitTimer(step.state(), nowNanos));
  }

  private static Step<AgentState, AgentEffect> startQueuedCall(
      AgentState state, long nowNanos, Tuple2<AttemptId, FairQueue> polled) {
    Attempt attempt = state.calls().live().get(polled._1).get();
    AgentState dequeued = state.withCalls(state.calls().withQueue(polled._2));
    if (nowNanos >= attempt.deadlineNanos()) {
      return AttemptCompletion.refuse(
          dequeued,
          nowNanos,
          polled._1,
          RefusalReason.DEADLINE_EXCEEDED,
          Outcome.NOT_RUN,
          Option.none());
    }
    Step<AgentState, AgentEffect> started = startCall(dequeued, nowNanos, attempt);
    return started.and(new AgentEffect.CancelTimer(new AgentTimer.QueueDeadline(polled._1)));
  }

  private static Step<AgentState, AgentEffect> startCall(
      AgentState state, long nowNanos, Attempt attempt) {
    AgentState next =
        state.withCalls(
            state
                .calls()
                .withRunningCalls(state.calls().runningCalls() + 1)
                .withRate(state.calls().rate().callStarted(nowNanos)));
    Message.Dispatch dispatch = attempt.dispatch();
    long timeoutMillis = Math.max(1, (attempt.deadlineNanos() - nowNanos) / NANOS_PER_MILLI);
    return Step.of(
        withAttempt(next, dispatch.attempt(), attempt.startedAt(nowNanos)),
        new AgentEffect.CallService(dispatch.attempt(), dispatch.call(), timeoutMillis));
  }

  static Step<AgentState, AgentEffect> deadlinePassed(
      AgentState state, long nowNanos, AttemptId id) {
    Option<Attempt> attempt = state.calls().live().get(id);
    if (attempt.exists(Attempt::queued)) {
      return AttemptCompletion.refuse(
          state, nowNanos, id, RefusalReason.DEADLINE_EXCEEDED, Outcome.NOT_RUN, Option.none());
    }
    if (attempt.exists(a -> a.phase() == Phase.AWAITING_OWNER)) {
      return AttemptCompletion.refuse(
          state, nowNanos, id, RefusalReason.DEADLINE_EXCEEDED, Outcome.UNKNOWN, Option.none());
    }
    return Step.of(state);
  }

  static Step<AgentState, AgentEffect> cancel(
      AgentState state, long nowNanos, PeerId peer, Message.CancelDispatch cancel) {
    AttemptId id = cancel.attempt();
    FinishedAttempts finished = state.calls().finished();
    if (finished.get(id).isDefined()) {
      CancelOutcome outcome =
          finished.didNotRun(id) ? CancelOutcome.NOT_STARTED : CancelOutcome.FINISHED;
      return Step.of(state, Replies.cancelResult(peer, cancel, outcome));
    }
    if (finished.evicted().contains(id)) {
      return Step.of(state, Replies.cancelResult(peer, cancel, CancelOutcome.FINISHED));
    }
    Option<Attempt> live = state.calls().live().get(id);
    if (live.isDefined()) {
      return cancelLive(state, nowNanos, peer, cancel, live.get());
    }
    if (finished.evicted().isFull(nowNanos)) {
      return Step.of(state, Replies.cancelResult(peer, cancel, CancelOutcome.RUNNING));
    }
    AgentState recorded =
        AttemptCompletion.recordResult(state, nowNanos, id, AttemptCompletion.CANCELLED);
    return Step.of(recorded, Replies.cancelResult(peer, cancel, CancelOutcome.NOT_STARTED));
  }

  private static Step<AgentState, AgentEffect> cancelLive(
      AgentState state,
      long nowNanos,
      PeerId peer,
      Message.CancelDispatch cancel,
      Attempt attempt) {
    Vector<AgentEffect> notStarted =
        refuseOtherRequesters(attempt, new Requester(peer, cancel.request()))
            .prepend(Replies.cancelResult(peer, cancel, CancelOutcome.NOT_STARTED));
    return switch (attempt.phase()) {
      case QUEUED, CLAIMED ->
          ReducerSteps.then(
              new Step<>(state, notStarted),
              next ->
                  AttemptCompletion.end(
                      next, nowNanos, cancel.attempt(), AttemptCompletion.CANCELLED));
      case CLAIMING ->
          new Step<>(
              KeyClaims.abandon(state, nowNanos, attempt, AttemptCompletion.CANCELLED), notStarted);
      // A waiter shares the call of its key's owner, so NOT_STARTED would be wrong for the key.
      case AWAITING_OWNER, CALLING, ABANDONED ->
          Step.of(state, Replies.cancelResult(peer, cancel, CancelOutcome.RUNNING));
    };
  }

  /** Refuses the other requesters of a cancelled attempt, which did not run. */
  private static Vector<AgentEffect> refuseOtherRequesters(Attempt attempt, Requester cancelling) {
    return attempt
        .requesters()
        .remove(cancelling)
        .toVector()
        .map(
            requester ->
                Replies.refusal(
                    requester,
                    attempt.dispatch().attempt(),
                    RefusalReason.CANCELLED,
                    Outcome.NOT_RUN,
                    Option.none()));
  }

  static AgentState withAttempt(AgentState state, AttemptId id, Attempt attempt) {
    return state.withCalls(state.calls().withLive(state.calls().live().put(id, attempt)));
  }
}
