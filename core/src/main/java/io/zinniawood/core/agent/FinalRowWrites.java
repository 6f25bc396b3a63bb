package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.agent.CallState.PendingRow;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.runtime.Step;

/** Writes final claim rows again until the table takes them. */
final class FinalRowWrites {
  private static final long FIRST_RETRY_DELAY_NANOS = 200_000_000;
  private static final int MAX_DOUBLINGS = 5;

  /** A longer wait would keep a leaving VM beyond the time that platforms usually grant. */
  private static final long GIVE_UP_AFTER_NANOS = 30_000_000_000L;

  /** Bounds the memory of releases during a store outage; answers are bounded by running calls. */
  private static final int MAX_PENDING_RELEASES = 1_024;

  private FinalRowWrites() {}

  static Step<AgentState, AgentEffect> writeCompleted(
      AgentState state, long nowNanos, AttemptId id, StoreWriteResult result) {
    Option<PendingRow> pending = state.calls().pendingRows().get(id);
    if (pending.isEmpty()) {
      return Step.of(state);
    }
    if (result == StoreWriteResult.DONE) {
      return complete(state, nowNanos, id, pending.get());
    }
    if (shouldGiveUp(state, nowNanos, pending.get())) {
      return ReducerSteps.then(
          Step.of(
              state,
              ReducerSteps.log(
                  NoticeKind.STORE, id, "the final claim row could not be stored, gave up")),
          next -> removeRow(next, nowNanos, id, pending.get()));
    }
    PendingRow row = pending.get();
    PendingRow again = new PendingRow(row.key(), row.row(), row.failedWrites() + 1);
    CallState gate = state.calls();
    long random = nextSeed(state.seed());
    AgentState next =
        state.withCalls(gate.withPendingRows(gate.pendingRows().put(id, again))).withSeed(random);
    return ReducerSteps.then(
        KeyClaims.refuseWaiters(next, nowNanos, id, RefusalReason.STORE_UNAVAILABLE),
        now ->
            Step.of(
                now,
                new AgentEffect.StartTimer(
                    new AgentTimer.FinalRowRetry(id), delayNanos(row.failedWrites(), random))));
  }

  static Step<AgentState, AgentEffect> retry(AgentState state, AttemptId id) {
    return state
        .calls()
        .pendingRows()
        .get(id)
        .map(
            row ->
                Step.<AgentState, AgentEffect>of(
                    state, new AgentEffect.StoreAnswer(id, row.key(), row.row())))
        .getOrElse(() -> Step.of(state));
  }

  private static boolean shouldGiveUp(AgentState state, long nowNanos, PendingRow row) {
    boolean tooLong =
        state.leaving() && nowNanos - state.calls().leavingSinceNanos() >= GIVE_UP_AFTER_NANOS;
    boolean tooMany =
        row.row().state() == ClaimState.RELEASED
            && state.calls().pendingRows().size() > MAX_PENDING_RELEASES;
    return tooLong || tooMany;
  }

  private static Step<AgentState, AgentEffect> complete(
      AgentState state, long nowNanos, AttemptId id, PendingRow row) {
    Step<AgentState, AgentEffect> step = Step.of(state);
    for (AttemptId waiter : KeyClaims.liveWaiters(state, id)) {
      step =
          ReducerSteps.then(
              step,
              next ->
                  AttemptCompletion.refuse(
                      next,
                      nowNanos,
                      waiter,
                      RefusalReason.CLAIMED_BY_OTHER,
                      Outcome.NOT_RUN,
                      Option.some(row.row())));
    }
    return ReducerSteps.then(step, next -> removeRow(next, nowNanos, id, row));
  }

  private static Step<AgentState, AgentEffect> removeRow(
      AgentState state, long nowNanos, AttemptId id, PendingRow row) {
    return ReducerSteps.then(
        KeyClaims.refuseWaiters(state, nowNanos, id, RefusalReason.STORE_UNAVAILABLE),
        next -> {
          CallState gate = next.calls();
          CallState without = gate.withPendingRows(gate.pendingRows().remove(id));
          boolean holdsKey =
              gate.ownersByKey().get(row.key()).contains(id) && !gate.live().containsKey(id);
          return Step.of(
              next.withCalls(
                  holdsKey
                      ? without.withOwnersByKey(gate.ownersByKey().remove(row.key()))
                      : without));
        });
  }

  /** Doubles the delay with each try and spreads it over its upper half. */
  private static long delayNanos(int tries, long random) {
    long delayNanos = FIRST_RETRY_DELAY_NANOS << Math.min(tries, MAX_DOUBLINGS);
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
