package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.agent.CallState.PendingRow;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.runtime.Step;

/** Retries the writes of final claim rows until they succeed or are given up. */
final class FinalRowWrites {
  private static final long FIRST_RETRY_DELAY_NANOS = 200_000_000;
  private static final int MAX_DOUBLINGS = 5;

  /** Time after the start of a drain; platforms usually do not wait longer for a VM to stop. */
  private static final long GIVE_UP_AFTER_NANOS = 30_000_000_000L;

  /**
   * Bounds the memory that pending releases take during a store outage. Pending answers need no
   * bound of their own, as the number of running calls limits them.
   */
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
                  NoticeKind.STORE,
                  id,
                  "gave up storing the final claim row: "
                      + "the agent is leaving or too many rows are pending")),
          next -> removeRow(next, nowNanos, id, pending.get()));
    }
    PendingRow row = pending.get();
    PendingRow retried = new PendingRow(row.key(), row.row(), row.failedWrites() + 1);
    CallState calls = state.calls();
    long random = nextSeed(state.seed());
    AgentState next =
        state
            .withCalls(calls.withPendingRows(calls.pendingRows().put(id, retried)))
            .withSeed(random);
    return ReducerSteps.then(
        KeyClaims.refuseWaiters(next, nowNanos, id, RefusalReason.STORE_UNAVAILABLE),
        latest ->
            Step.of(
                latest,
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
    boolean drainTimedOut =
        state.leaving() && nowNanos - state.calls().leavingSinceNanos() >= GIVE_UP_AFTER_NANOS;
    boolean tooManyReleases =
        row.row().state() == ClaimState.RELEASED
            && state.calls().pendingRows().size() > MAX_PENDING_RELEASES;
    return drainTimedOut || tooManyReleases;
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
          CallState calls = next.calls();
          CallState without = calls.withPendingRows(calls.pendingRows().remove(id));
          boolean ownsKey =
              calls.ownersByKey().get(row.key()).contains(id) && !calls.live().containsKey(id);
          return Step.of(
              next.withCalls(
                  ownsKey
                      ? without.withOwnersByKey(calls.ownersByKey().remove(row.key()))
                      : without));
        });
  }

  /** Returns an exponential delay with jitter: a random value in the upper half of the delay. */
  private static long delayNanos(int failedWrites, long random) {
    long delayNanos = FIRST_RETRY_DELAY_NANOS << Math.min(failedWrites, MAX_DOUBLINGS);
    return delayNanos / 2 + Long.remainderUnsigned(random, delayNanos / 2);
  }

  /** Returns the next xorshift state; replaces 0, from which the generator would never move. */
  static long nextSeed(long seed) {
    long next = seed == 0 ? 0x9e3779b97f4a7c15L : seed;
    next ^= next << 13;
    next ^= next >>> 7;
    return next ^ (next << 17);
  }
}
