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

/** Admission, queueing and cancelling of plain service calls. Runs each attempt at most once. */
final class CallAdmission {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A longer deadline is cut, so that its nanoseconds do not overflow. */
  private static final long MAX_DEADLINE_MILLIS = 86_400_000;

  /** Queue places for each place of the concurrency limit. */
  private static final int QUEUE_CAPACITY_PER_CALL = 4;

  private static final int MIN_QUEUE_CAPACITY = 64;

  /** Claims in flight; more would queue in the table's client while the table is slow. */
  private static final int MAX_CLAIMS_IN_FLIGHT = 64;

  /** Bounds the memory of attempts that wait for a key. */
  private static final int MAX_LIVE_ATTEMPTS = 4_096;

  private CallAdmission() {}

  static Step<AgentState, AgentEffect> dispatch(
      AgentState state, long nowNanos, PeerId peer, Message.Dispatch work) {
    AttemptId id = work.attempt();
    if (!work.incarnation().equals(state.properties().incarnation())) {
      return Step.of(
          state,
          Replies.refusal(
              Requester.of(peer, work),
              id,
              RefusalReason.WRONG_INCARNATION,
              Outcome.NOT_RUN,
              Option.none()));
    }
    Option<FinishedAttempts.Result> ended = state.calls().finished().get(id);
    if (ended.isDefined()) {
      return Step.of(state, Replies.reply(state, Requester.of(peer, work), id, ended.get()));
    }
    if (state.calls().finished().evicted().contains(id)) {
      return Step.of(
          state,
          Replies.refusal(
              Requester.of(peer, work),
              id,
              RefusalReason.RESULT_EVICTED,
              Outcome.UNKNOWN,
              Option.none()));
    }
    Option<Attempt> live = state.calls().live().get(id);
    if (live.isDefined()) {
      return Step.of(withAttempt(state, id, live.get().withRequester(Requester.of(peer, work))));
    }
    long remainingMillis = Math.min(work.remainingMillis(), MAX_DEADLINE_MILLIS);
    long deadlineNanos = nowNanos + remainingMillis * NANOS_PER_MILLI;
    return admit(
        state,
        nowNanos,
        new Attempt(work, HashSet.of(Requester.of(peer, work)), Phase.QUEUED, deadlineNanos, 0));
  }

  /** Admits an attempt that is not in the state. */
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
    CallState gate = state.calls();
    if (state.leaving()) {
      return Option.some(RefusalReason.LEAVING);
    }
    if (!serves(state, attempt.dispatch())) {
      return Option.some(RefusalReason.NOT_SERVED);
    }
    if (nowNanos >= attempt.deadlineNanos()) {
      return Option.some(RefusalReason.DEADLINE_EXCEEDED);
    }
    if (gate.live().size() >= MAX_LIVE_ATTEMPTS || gate.finished().evicted().isFull(nowNanos)) {
      return Option.some(RefusalReason.OVERLOADED);
    }
    return Option.none();
  }

  private static boolean serves(AgentState state, Message.Dispatch work) {
    return state
        .capability()
        .exists(
            capability ->
                capability instanceof Capability.PlainService plain
                    && plain.service().equals(work.service()));
  }

  private static Step<AgentState, AgentEffect> admitWithinLimits(
      AgentState state, long nowNanos, Attempt attempt) {
    CallState gate = state.calls();
    int limit = state.properties().maxConcurrentCalls();
    if (gate.runningCalls() < limit && gate.queue().size() == 0) {
      return claimOrCall(state, nowNanos, attempt);
    }
    Message.Dispatch work = attempt.dispatch();
    long position = gate.queue().positionOfNew(work.clientAccount(), work.weight());
    long waitNanos = position * gate.meanCallNanos() / limit;
    if (nowNanos + waitNanos >= attempt.deadlineNanos()) {
      return AttemptCompletion.refuseUnadmitted(state, nowNanos, attempt, RefusalReason.OVERLOADED);
    }
    if (gate.queue().size() < Math.max(MIN_QUEUE_CAPACITY, QUEUE_CAPACITY_PER_CALL * limit)) {
      return claimOrCall(state, nowNanos, attempt);
    }
    if (!gate.queue().wouldStayBelowLargest(work.clientAccount(), work.weight())) {
      return AttemptCompletion.refuseUnadmitted(state, nowNanos, attempt, RefusalReason.OVERLOADED);
    }
    AttemptId displaced = gate.queue().newestOfLargestAccount().get();
    return ReducerSteps.then(
        AttemptCompletion.refuse(
            state, nowNanos, displaced, RefusalReason.OVERLOADED, Outcome.NOT_RUN, Option.none()),
        next -> claimOrCall(next, nowNanos, attempt));
  }

  /**
   * Takes an attempt that the queue has room for. A keyed attempt claims its key before it takes a
   * place, so that a slow table does not hold up calls without a key.
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

  /** Calls the service if there is a free place, else queues the attempt in its phase. */
  static Step<AgentState, AgentEffect> callOrQueue(
      AgentState state, long nowNanos, Attempt attempt) {
    CallState gate = state.calls();
    if (gate.runningCalls() < state.properties().maxConcurrentCalls() && gate.queue().size() == 0) {
      return startCall(state, nowNanos, attempt);
    }
    Message.Dispatch work = attempt.dispatch();
    AgentState next = withAttempt(state, work.attempt(), attempt);
    FairQueue queue = next.calls().queue().add(work.clientAccount(), work.weight(), work.attempt());
    return Step.of(next.withCalls(next.calls().withQueue(queue)), deadlineTimer(nowNanos, attempt));
  }

  static AgentEffect deadlineTimer(long nowNanos, Attempt attempt) {
    return new AgentEffect.StartTimer(
        new AgentTimer.QueueDeadline(attempt.dispatch().attempt()),
        Math.max(0, attempt.deadlineNanos() - nowNanos));
  }

  /** Starts queued attempts while there are free places. */
  static Step<AgentState, AgentEffect> startQueuedCalls(AgentState state, long nowNanos) {
    Step<AgentState, AgentEffect> step = Step.of(state);
    while (step.state().calls().runningCalls() < state.properties().maxConcurrentCalls()
        && !step.state().leaving()) {
      Option<Tuple2<AttemptId, FairQueue>> taken = step.state().calls().queue().poll();
      if (taken.isEmpty()) {
        break;
      }
      step = ReducerSteps.then(step, now -> startQueuedCall(now, nowNanos, taken.get()));
    }
    return step;
  }

  private static Step<AgentState, AgentEffect> startQueuedCall(
      AgentState state, long nowNanos, Tuple2<AttemptId, FairQueue> taken) {
    Attempt attempt = state.calls().live().get(taken._1).get();
    AgentState shorter = state.withCalls(state.calls().withQueue(taken._2));
    if (nowNanos >= attempt.deadlineNanos()) {
      return AttemptCompletion.refuse(
          shorter,
          nowNanos,
          taken._1,
          RefusalReason.DEADLINE_EXCEEDED,
          Outcome.NOT_RUN,
          Option.none());
    }
    Step<AgentState, AgentEffect> begun = startCall(shorter, nowNanos, attempt);
    return begun.and(new AgentEffect.CancelTimer(new AgentTimer.QueueDeadline(taken._1)));
  }

  private static Step<AgentState, AgentEffect> startCall(
      AgentState state, long nowNanos, Attempt attempt) {
    AgentState next =
        state.withCalls(state.calls().withRunningCalls(state.calls().runningCalls() + 1));
    Message.Dispatch work = attempt.dispatch();
    long timeoutMillis = Math.max(1, (attempt.deadlineNanos() - nowNanos) / NANOS_PER_MILLI);
    return Step.of(
        withAttempt(next, work.attempt(), attempt.startedAt(nowNanos)),
        new AgentEffect.CallService(work.attempt(), work.call(), timeoutMillis));
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
    AgentState marked =
        AttemptCompletion.recordResult(state, nowNanos, id, AttemptCompletion.CANCELLED);
    return Step.of(marked, Replies.cancelResult(peer, cancel, CancelOutcome.NOT_STARTED));
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
      // A waiter shares the run of another attempt, so "not started" would be untrue for its key.
      case AWAITING_OWNER, CALLING, ABANDONED ->
          Step.of(state, Replies.cancelResult(peer, cancel, CancelOutcome.RUNNING));
    };
  }

  /** Tells the other requests that wait for a cancelled attempt that it did not run. */
  private static Vector<AgentEffect> refuseOtherRequesters(Attempt attempt, Requester cancelling) {
    return attempt
        .requesters()
        .remove(cancelling)
        .toVector()
        .map(
            asker ->
                Replies.refusal(
                    asker,
                    attempt.dispatch().attempt(),
                    RefusalReason.CANCELLED,
                    Outcome.NOT_RUN,
                    Option.none()));
  }

  static AgentState withAttempt(AgentState state, AttemptId id, Attempt attempt) {
    return state.withCalls(state.calls().withLive(state.calls().live().put(id, attempt)));
  }
}
