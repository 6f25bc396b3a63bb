package io.zinniawood.core.agent;

import io.vavr.Tuple2;
import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.agent.GateState.Attempt;
import io.zinniawood.core.agent.GateState.Phase;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.runtime.Step;

/** Admission, queueing and cancelling of plain service calls. Runs each attempt at most once. */
final class Gate {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A longer deadline is cut, so that its nanoseconds do not overflow. */
  private static final long MAX_REMAINING_MILLIS = 86_400_000;

  /** Queue places for each place of the concurrency limit. */
  private static final int QUEUE_FACTOR = 4;

  private static final int MIN_QUEUE = 64;

  /** Claims in flight; more would queue in the table's client while the table is slow. */
  private static final int MAX_CLAIMING = 64;

  /** Bounds the memory of attempts that wait for a key. */
  private static final int MAX_LIVE = 4_096;

  private Gate() {}

  static Step<AgentState, AgentEffect> dispatch(
      AgentState state, long nowNanos, PeerId peer, Message.Dispatch work) {
    AttemptId id = work.attempt();
    if (!work.incarnation().equals(state.self().incarnation())) {
      return Step.of(
          state,
          Replies.refusal(
              Asker.of(peer, work),
              id,
              RefusalReason.WRONG_INCARNATION,
              Outcome.NOT_RUN,
              Option.none()));
    }
    Option<FinishedAttempts.Result> ended = state.gate().finished().get(id);
    if (ended.isDefined()) {
      return Step.of(state, Replies.result(state, Asker.of(peer, work), id, ended.get()));
    }
    if (state.gate().finished().evicted().contains(id)) {
      return Step.of(
          state,
          Replies.refusal(
              Asker.of(peer, work),
              id,
              RefusalReason.RESULT_EVICTED,
              Outcome.UNKNOWN,
              Option.none()));
    }
    Option<Attempt> live = state.gate().live().get(id);
    if (live.isDefined()) {
      return Step.of(withAttempt(state, id, live.get().askedBy(Asker.of(peer, work))));
    }
    long remainingMillis = Math.min(work.remainingMillis(), MAX_REMAINING_MILLIS);
    long deadlineNanos = nowNanos + remainingMillis * NANOS_PER_MILLI;
    return admit(
        state,
        nowNanos,
        new Attempt(work, HashSet.of(Asker.of(peer, work)), Phase.QUEUED, deadlineNanos, 0));
  }

  /** Admits an attempt that is not in the state. */
  static Step<AgentState, AgentEffect> admit(AgentState state, long nowNanos, Attempt attempt) {
    Option<RefusalReason> reason = reasonToRefuse(state, nowNanos, attempt);
    if (reason.isDefined()) {
      return Ending.refuseNew(state, nowNanos, attempt, reason.get());
    }
    return Claims.attachToKey(state, nowNanos, attempt)
        .getOrElse(() -> take(state, nowNanos, attempt));
  }

  private static Option<RefusalReason> reasonToRefuse(
      AgentState state, long nowNanos, Attempt attempt) {
    GateState gate = state.gate();
    if (state.leaving()) {
      return Option.some(RefusalReason.LEAVING);
    }
    if (!serves(state, attempt.dispatch())) {
      return Option.some(RefusalReason.NOT_SERVED);
    }
    if (nowNanos >= attempt.deadlineNanos()) {
      return Option.some(RefusalReason.DEADLINE_EXCEEDED);
    }
    if (gate.live().size() >= MAX_LIVE || gate.finished().evicted().full(nowNanos)) {
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

  private static Step<AgentState, AgentEffect> take(
      AgentState state, long nowNanos, Attempt attempt) {
    GateState gate = state.gate();
    int limit = state.self().maxConcurrentCalls();
    if (gate.running() < limit && gate.queue().size() == 0) {
      return enter(state, nowNanos, attempt);
    }
    Message.Dispatch work = attempt.dispatch();
    long position = gate.queue().positionOfNew(work.clientAccount(), work.weight());
    long waitNanos = position * gate.meanCallNanos() / limit;
    if (nowNanos + waitNanos >= attempt.deadlineNanos()) {
      return Ending.refuseNew(state, nowNanos, attempt, RefusalReason.OVERLOADED);
    }
    if (gate.queue().size() < Math.max(MIN_QUEUE, QUEUE_FACTOR * limit)) {
      return enter(state, nowNanos, attempt);
    }
    if (!gate.queue().belowLargest(work.clientAccount(), work.weight())) {
      return Ending.refuseNew(state, nowNanos, attempt, RefusalReason.OVERLOADED);
    }
    AttemptId displaced = gate.queue().newestOfLargest().get();
    return Change.then(
        Ending.refuse(
            state, nowNanos, displaced, RefusalReason.OVERLOADED, Outcome.NOT_RUN, Option.none()),
        next -> enter(next, nowNanos, attempt));
  }

  /**
   * Takes an attempt that the queue has room for. A keyed attempt claims its key before it takes a
   * place, so that a slow table does not hold up calls without a key.
   */
  private static Step<AgentState, AgentEffect> enter(
      AgentState state, long nowNanos, Attempt attempt) {
    if (attempt.dispatch().key().isEmpty()) {
      return placeOrQueue(state, nowNanos, attempt.with(Phase.QUEUED));
    }
    return state.gate().claiming() < MAX_CLAIMING
        ? Claims.begin(state, attempt)
        : Ending.refuseNew(state, nowNanos, attempt, RefusalReason.OVERLOADED);
  }

  /** Calls the service if there is a free place, else queues the attempt in its phase. */
  static Step<AgentState, AgentEffect> placeOrQueue(
      AgentState state, long nowNanos, Attempt attempt) {
    GateState gate = state.gate();
    if (gate.running() < state.self().maxConcurrentCalls() && gate.queue().size() == 0) {
      return begin(state, nowNanos, attempt);
    }
    Message.Dispatch work = attempt.dispatch();
    AgentState next = withAttempt(state, work.attempt(), attempt);
    FairQueue queue = next.gate().queue().add(work.clientAccount(), work.weight(), work.attempt());
    return Step.of(next.withGate(next.gate().withQueue(queue)), deadlineTimer(nowNanos, attempt));
  }

  static AgentEffect deadlineTimer(long nowNanos, Attempt attempt) {
    return new AgentEffect.StartTimer(
        new AgentTimer.QueueDeadline(attempt.dispatch().attempt()),
        Math.max(0, attempt.deadlineNanos() - nowNanos));
  }

  /** Starts queued attempts while there are free places. */
  static Step<AgentState, AgentEffect> startNext(AgentState state, long nowNanos) {
    Step<AgentState, AgentEffect> step = Step.of(state);
    while (step.state().gate().running() < state.self().maxConcurrentCalls()
        && !step.state().leaving()) {
      Option<Tuple2<AttemptId, FairQueue>> taken = step.state().gate().queue().take();
      if (taken.isEmpty()) {
        break;
      }
      step = Change.then(step, now -> beginQueued(now, nowNanos, taken.get()));
    }
    return step;
  }

  private static Step<AgentState, AgentEffect> beginQueued(
      AgentState state, long nowNanos, Tuple2<AttemptId, FairQueue> taken) {
    Attempt attempt = state.gate().live().get(taken._1).get();
    AgentState shorter = state.withGate(state.gate().withQueue(taken._2));
    if (nowNanos >= attempt.deadlineNanos()) {
      return Ending.refuse(
          shorter,
          nowNanos,
          taken._1,
          RefusalReason.DEADLINE_EXCEEDED,
          Outcome.NOT_RUN,
          Option.none());
    }
    Step<AgentState, AgentEffect> begun = begin(shorter, nowNanos, attempt);
    return begun.and(new AgentEffect.CancelTimer(new AgentTimer.QueueDeadline(taken._1)));
  }

  private static Step<AgentState, AgentEffect> begin(
      AgentState state, long nowNanos, Attempt attempt) {
    AgentState next = state.withGate(state.gate().withRunning(state.gate().running() + 1));
    Message.Dispatch work = attempt.dispatch();
    long timeoutMillis = Math.max(1, (attempt.deadlineNanos() - nowNanos) / NANOS_PER_MILLI);
    return Step.of(
        withAttempt(next, work.attempt(), attempt.startedAt(nowNanos)),
        new AgentEffect.CallService(work.attempt(), work.call(), timeoutMillis));
  }

  static Step<AgentState, AgentEffect> queueDeadline(
      AgentState state, long nowNanos, AttemptId id) {
    Option<Attempt> attempt = state.gate().live().get(id);
    if (attempt.exists(Attempt::queued)) {
      return Ending.refuse(
          state, nowNanos, id, RefusalReason.DEADLINE_EXCEEDED, Outcome.NOT_RUN, Option.none());
    }
    if (attempt.exists(a -> a.phase() == Phase.WAITING)) {
      return Ending.refuse(
          state, nowNanos, id, RefusalReason.DEADLINE_EXCEEDED, Outcome.UNKNOWN, Option.none());
    }
    return Step.of(state);
  }

  static Step<AgentState, AgentEffect> cancel(
      AgentState state, long nowNanos, PeerId peer, Message.CancelDispatch cancel) {
    AttemptId id = cancel.attempt();
    FinishedAttempts finished = state.gate().finished();
    if (finished.get(id).isDefined()) {
      CancelOutcome outcome =
          finished.notRun(id) ? CancelOutcome.NOT_STARTED : CancelOutcome.FINISHED;
      return Step.of(state, Replies.cancelled(peer, cancel, outcome));
    }
    if (finished.evicted().contains(id)) {
      return Step.of(state, Replies.cancelled(peer, cancel, CancelOutcome.FINISHED));
    }
    Option<Attempt> live = state.gate().live().get(id);
    if (live.isDefined()) {
      return cancelLive(state, nowNanos, peer, cancel, live.get());
    }
    if (finished.evicted().full(nowNanos)) {
      return Step.of(state, Replies.cancelled(peer, cancel, CancelOutcome.RUNNING));
    }
    AgentState marked = Ending.remember(state, nowNanos, id, Ending.CANCELLED);
    return Step.of(marked, Replies.cancelled(peer, cancel, CancelOutcome.NOT_STARTED));
  }

  private static Step<AgentState, AgentEffect> cancelLive(
      AgentState state,
      long nowNanos,
      PeerId peer,
      Message.CancelDispatch cancel,
      Attempt attempt) {
    Vector<AgentEffect> notStarted =
        otherAskers(attempt, new Asker(peer, cancel.request()))
            .prepend(Replies.cancelled(peer, cancel, CancelOutcome.NOT_STARTED));
    return switch (attempt.phase()) {
      case QUEUED, CLAIMED ->
          Change.then(
              new Step<>(state, notStarted),
              next -> Ending.end(next, nowNanos, cancel.attempt(), Ending.CANCELLED));
      case CLAIMING ->
          new Step<>(Claims.abandon(state, nowNanos, attempt, Ending.CANCELLED), notStarted);
      // A waiter shares the run of another attempt, so "not started" would be untrue for its key.
      case WAITING, CALLING, ABANDONED ->
          Step.of(state, Replies.cancelled(peer, cancel, CancelOutcome.RUNNING));
    };
  }

  /** Tells the other requests that wait for a cancelled attempt that it did not run. */
  private static Vector<AgentEffect> otherAskers(Attempt attempt, Asker cancelling) {
    return attempt
        .askers()
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
    return state.withGate(state.gate().withLive(state.gate().live().put(id, attempt)));
  }
}
