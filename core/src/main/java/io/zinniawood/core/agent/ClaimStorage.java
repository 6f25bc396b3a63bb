package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.agent.GateState.PendingRow;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.runtime.Step;

/** Writes final claim rows again until the table takes them. */
final class ClaimStorage {
  private static final long FIRST_RETRY_NANOS = 200_000_000;
  private static final int MAX_DOUBLINGS = 5;

  /** A longer wait would keep a leaving VM beyond the time that platforms usually grant. */
  private static final long GIVE_UP_NANOS = 30_000_000_000L;

  /** Bounds the memory of releases during a store outage; answers are bounded by running calls. */
  private static final int MAX_RELEASES = 1_024;

  private ClaimStorage() {}

  static Step<AgentState, AgentEffect> stored(
      AgentState state, long nowNanos, AttemptId id, StoreWrite result) {
    Option<PendingRow> pending = state.gate().storing().get(id);
    if (pending.isEmpty()) {
      return Step.of(state);
    }
    if (result == StoreWrite.DONE) {
      return finish(state, nowNanos, id, pending.get());
    }
    if (givesUp(state, nowNanos, pending.get())) {
      return Change.then(
          Step.of(
              state,
              Change.log(NoticeKind.STORE, id, "the final claim row could not be stored, gave up")),
          next -> drop(next, nowNanos, id, pending.get()));
    }
    PendingRow row = pending.get();
    PendingRow again = new PendingRow(row.key(), row.row(), row.tries() + 1);
    GateState gate = state.gate();
    long random = nextSeed(state.seed());
    AgentState next =
        state.withGate(gate.withStoring(gate.storing().put(id, again))).withSeed(random);
    return Change.then(
        Claims.refuseWaiters(next, nowNanos, id, RefusalReason.STORE_UNAVAILABLE),
        now ->
            Step.of(
                now,
                new AgentEffect.StartTimer(
                    new AgentTimer.AnswerRetry(id), delayNanos(row.tries(), random))));
  }

  static Step<AgentState, AgentEffect> retry(AgentState state, AttemptId id) {
    return state
        .gate()
        .storing()
        .get(id)
        .map(
            row ->
                Step.<AgentState, AgentEffect>of(
                    state, new AgentEffect.StoreAnswer(id, row.key(), row.row())))
        .getOrElse(() -> Step.of(state));
  }

  private static boolean givesUp(AgentState state, long nowNanos, PendingRow row) {
    boolean tooLong =
        state.leaving() && nowNanos - state.gate().leavingSinceNanos() >= GIVE_UP_NANOS;
    boolean tooMany =
        row.row().state() == ClaimState.RELEASED && state.gate().storing().size() > MAX_RELEASES;
    return tooLong || tooMany;
  }

  private static Step<AgentState, AgentEffect> finish(
      AgentState state, long nowNanos, AttemptId id, PendingRow row) {
    Step<AgentState, AgentEffect> step = Step.of(state);
    for (AttemptId waiter : Claims.liveWaiters(state, id)) {
      step =
          Change.then(
              step,
              next ->
                  Ending.refuse(
                      next,
                      nowNanos,
                      waiter,
                      RefusalReason.CLAIMED_BY_OTHER,
                      Outcome.NOT_RUN,
                      Option.some(row.row())));
    }
    return Change.then(step, next -> drop(next, nowNanos, id, row));
  }

  private static Step<AgentState, AgentEffect> drop(
      AgentState state, long nowNanos, AttemptId id, PendingRow row) {
    return Change.then(
        Claims.refuseWaiters(state, nowNanos, id, RefusalReason.STORE_UNAVAILABLE),
        next -> {
          GateState gate = next.gate();
          GateState without = gate.withStoring(gate.storing().remove(id));
          boolean holdsKey =
              gate.keys().get(row.key()).contains(id) && !gate.live().containsKey(id);
          return Step.of(
              next.withGate(holdsKey ? without.withKeys(gate.keys().remove(row.key())) : without));
        });
  }

  /** Doubles the delay with each try and spreads it over its upper half. */
  private static long delayNanos(int tries, long random) {
    long delayNanos = FIRST_RETRY_NANOS << Math.min(tries, MAX_DOUBLINGS);
    return delayNanos / 2 + Long.remainderUnsigned(random, delayNanos / 2);
  }

  /** Next state of the xorshift generator; 0 is replaced, as the sequence would stay there. */
  static long nextSeed(long seed) {
    long next = seed == 0 ? 0x9e3779b97f4a7c15L : seed;
    next ^= next << 13;
    next ^= next >>> 7;
    return next ^ (next << 17);
  }
}
