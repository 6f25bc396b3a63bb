package io.zinniawood.core.entry;

import io.zinniawood.core.configuration.RetryPolicy;
import io.zinniawood.core.entry.limits.Backoff;
import io.zinniawood.core.entry.limits.RetryBudget;

/**
 * Applies the budget and the delays of the retry policy. Callers must make sure that a retry is
 * safe.
 */
final class Retries {
  private Retries() {}

  /** Counts a request. The retry budget grows with the number of recent requests. */
  static void countRequest(Turn turn) {
    RetryBudget next = turn.state().usage().retries().withRequest(turn.nowNanos());
    turn.update(state -> state.withUsage(state.usage().with(next)));
  }

  /** Takes one retry from the budget; returns false if the budget is used up. */
  static boolean tryAcquire(Turn turn) {
    RetryPolicy policy = turn.cluster().retries();
    RetryBudget budget = turn.state().usage().retries();
    if (!budget.allows(policy.budgetShare(), policy.budgetMinimum(), turn.nowNanos())) {
      return false;
    }
    turn.update(state -> state.withUsage(state.usage().with(budget.withRetry(turn.nowNanos()))));
    return true;
  }

  /** Returns the delay before the next attempt in nanoseconds. */
  static long delayNanos(Turn turn, int attempts) {
    RetryPolicy policy = turn.cluster().retries();
    return Backoff.delayNanos(
        attempts, policy.baseDelayMillis(), policy.maxDelayMillis(), turn.nextDouble());
  }
}
