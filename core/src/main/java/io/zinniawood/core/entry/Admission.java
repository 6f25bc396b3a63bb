package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.configuration.ClientAccount;
import io.zinniawood.core.entry.limits.AccountUsage;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;

/** Admission control: accepts or refuses a request before any of it is sent to an endpoint. */
final class Admission {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private Admission() {}

  /**
   * Returns the problem with which a request is refused. If there is none, counts the request as
   * open for its client account.
   *
   * @param target name of the model or service
   */
  static Option<Problem> admit(Turn turn, ClientAccountId id, String target, long deadlineNanos) {
    return lifecycleRefusal(turn)
        .orElse(() -> deadlineRefusal(turn, target, deadlineNanos))
        .orElse(
            () ->
                turn.cluster()
                    .clientAccounts()
                    .get(id)
                    .map(account -> accountLimitRefusal(turn, account))
                    .getOrElse(
                        () ->
                            Option.some(
                                Problem.notRun(
                                    ProblemType.FORBIDDEN,
                                    "client account %s is not configured".formatted(id)))));
  }

  private static Option<Problem> lifecycleRefusal(Turn turn) {
    return switch (turn.state().lifecycle()) {
      case STARTING ->
          Option.some(
              Problem.notRunRetry(
                  ProblemType.NOT_READY, "the entry has no accepted configuration yet", 1_000));
      case DRAINING, STOPPED ->
          Option.some(
              Problem.notRunRetry(
                  ProblemType.NOT_READY, "the entry is draining or stopped", 1_000));
      case READY, DRAIN_GRACE -> Option.none();
    };
  }

  /**
   * Refuses a request whose expected duration exceeds its deadline, before it uses any capacity.
   */
  private static Option<Problem> deadlineRefusal(Turn turn, String target, long deadlineNanos) {
    long remainingNanos = deadlineNanos - turn.nowNanos();
    if (remainingNanos <= 0) {
      return Option.some(
          Problem.notRun(
              ProblemType.DEADLINE_EXCEEDED, "the deadline had passed when the request arrived"));
    }
    double expectedNanos = turn.state().usage().expectedNanos(target, turn.nowNanos());
    if (expectedNanos > remainingNanos) {
      return Option.some(
          Problem.notRunRetry(
              ProblemType.OVERLOADED,
              "%s currently takes %.0f ms, but the deadline is in %d ms"
                  .formatted(
                      target, expectedNanos / NANOS_PER_MILLI, remainingNanos / NANOS_PER_MILLI),
              (long) (expectedNanos / NANOS_PER_MILLI)));
    }
    return Option.none();
  }

  /**
   * Refuses a request beyond this entry's share of the account's rate and concurrency limits;
   * counts any other request as open.
   */
  private static Option<Problem> accountLimitRefusal(Turn turn, ClientAccount account) {
    int entries = turn.fleet().liveEntries();
    double rate = account.requestsPerSecond() / entries;
    double burst = Math.max(1, (double) account.burstRequests() / entries);
    int concurrent = Math.max(1, account.maxConcurrent() / entries);
    AccountUsage usage =
        turn.state()
            .usage()
            .account(account.id(), burst, turn.nowNanos())
            .refilled(rate, burst, turn.nowNanos());
    if (usage.openRequests() >= concurrent) {
      return refuseOverLimit(
          turn,
          account,
          usage,
          "client account %s has %d open requests at this entry, its share of the limit is %d"
              .formatted(account.id(), usage.openRequests(), concurrent),
          100);
    }
    if (usage.bucketTokens() < 1) {
      long waitMillis = (long) ((1 - usage.bucketTokens()) * 1e3 / Math.max(1e-3, rate)) + 1;
      return refuseOverLimit(
          turn,
          account,
          usage,
          "client account %s exceeds %.1f requests/s, its share of the limit at this entry"
              .formatted(account.id(), rate),
          waitMillis);
    }
    turn.update(
        state -> state.withUsage(state.usage().with(account.id(), usage.withOpenedRequest())));
    return Option.none();
  }

  private static Option<Problem> refuseOverLimit(
      Turn turn, ClientAccount account, AccountUsage usage, String detail, long retryAfterMillis) {
    turn.update(state -> state.withUsage(state.usage().with(account.id(), usage)));
    turn.recordIncidentOnce(IncidentKind.ACCOUNT_LIMITED, account.id().value(), detail);
    return Option.some(Problem.notRunRetry(ProblemType.ACCOUNT_LIMIT, detail, retryAfterMillis));
  }

  /** Removes a request that ended from the account's count of open requests. */
  static void release(Turn turn, ClientAccountId id) {
    turn.state()
        .usage()
        .accounts()
        .get(id)
        .forEach(
            usage ->
                turn.update(
                    state -> state.withUsage(state.usage().with(id, usage.withClosedRequest()))));
  }

  /** Returns the fair-share weight of a client account. */
  static int weight(Turn turn, ClientAccountId id) {
    return turn.cluster().clientAccounts().get(id).map(ClientAccount::weight).getOrElse(1);
  }
}
