package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.configuration.ClientAccount;
import io.zinniawood.core.entry.limits.AccountUse;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;

/** Decides whether a request is taken; a refused request never left the entry. */
final class Admission {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private Admission() {}

  /**
   * Returns the reason to refuse a request; if there is none, counts the request for its account.
   */
  static Option<Problem> admit(Turn turn, ClientAccountId id, long deadlineNanos) {
    if (turn.state().lifecycle() == Lifecycle.STARTING) {
      return Option.some(
          Problem.notRunRetry(
              ProblemType.NOT_READY, "the entry has no accepted configuration yet", 1_000));
    }
    if (turn.state().lifecycle().compareTo(Lifecycle.DRAINING) >= 0) {
      return Option.some(
          Problem.notRunRetry(ProblemType.NOT_READY, "the entry is about to stop", 1_000));
    }
    if (deadlineNanos - turn.nowNanos() <= 0) {
      return Option.some(
          Problem.notRun(ProblemType.DEADLINE_EXCEEDED, "the deadline had passed on arrival"));
    }
    Option<ClientAccount> account = turn.cluster().clientAccounts().get(id);
    if (account.isEmpty()) {
      return Option.some(
          Problem.notRun(
              ProblemType.FORBIDDEN, "client account %s is not configured".formatted(id)));
    }
    return limit(turn, account.get());
  }

  /** Applies this entry's share of the account's limits. */
  private static Option<Problem> limit(Turn turn, ClientAccount account) {
    int entries = Math.max(1, turn.fleet().liveEntries());
    double rate = account.requestsPerSecond() / entries;
    double burst = Math.max(1, (double) account.burstRequests() / entries);
    int concurrent = Math.max(1, account.maxConcurrent() / entries);
    AccountUse use =
        turn.state()
            .accounts()
            .getOrElse(account.id(), AccountUse.fresh(burst, turn.nowNanos()))
            .refilled(rate, burst, turn.nowNanos());
    if (use.open() >= concurrent) {
      return Option.some(
          Problem.notRunRetry(
              ProblemType.ACCOUNT_LIMIT,
              "client account %s has %d open requests at this entry, its share of the limit is %d"
                  .formatted(account.id(), use.open(), concurrent),
              100));
    }
    if (use.tokens() < 1) {
      long waitNanos = (long) ((1 - use.tokens()) * 1e9 / Math.max(1e-3, rate));
      return Option.some(
          Problem.notRunRetry(
              ProblemType.ACCOUNT_LIMIT,
              "client account %s exceeds %.1f requests/s, its share of the limit at this entry"
                  .formatted(account.id(), rate),
              waitNanos / NANOS_PER_MILLI + 1));
    }
    turn.update(state -> state.withAccounts(state.accounts().put(account.id(), use.opened())));
    return Option.none();
  }

  /** Gives back the count of a request that ended. */
  static void release(Turn turn, ClientAccountId id) {
    turn.update(
        state ->
            state
                .accounts()
                .get(id)
                .map(use -> state.withAccounts(state.accounts().put(id, use.closed())))
                .getOrElse(state));
  }

  /** Returns the fair-share weight of a client account. */
  static int weight(Turn turn, ClientAccountId id) {
    return turn.cluster().clientAccounts().get(id).map(ClientAccount::weight).getOrElse(1);
  }
}
