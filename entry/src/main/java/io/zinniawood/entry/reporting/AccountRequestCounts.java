package io.zinniawood.entry.reporting;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.entry.EntryOverview;
import io.zinniawood.core.entry.RequestResult;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.report.page.AccountsReport;

/** Counts this entry's requests by client account and result. Confined to one thread. */
final class AccountRequestCounts {
  /** About twice the number of client accounts in the design size. */
  static final int MAX_ACCOUNTS = 4_096;

  /** Collects the requests of all accounts beyond {@link #MAX_ACCOUNTS}. */
  static final ClientAccountId OTHER_ACCOUNTS = new ClientAccountId("all-others");

  private final long sinceEpochMillis;
  private Map<ClientAccountId, Totals> totals = HashMap.empty();

  private record Totals(long requests, long answered, long limited, long overloaded, long unknown) {
    static final Totals NONE = new Totals(0, 0, 0, 0, 0);

    Totals plus(RequestResult result) {
      boolean failed = result.problem().isDefined();
      boolean wasUnknown = result.outcome() == Outcome.UNKNOWN;
      boolean wasLimited = result.problem().contains(ProblemType.ACCOUNT_LIMIT);
      boolean wasOverloaded =
          !wasUnknown
              && result
                  .problem()
                  .exists(
                      type -> type == ProblemType.OVERLOADED || type == ProblemType.NO_ENDPOINT);
      return new Totals(
          requests + 1,
          answered + (failed || wasUnknown ? 0 : 1),
          limited + (wasLimited ? 1 : 0),
          overloaded + (wasOverloaded ? 1 : 0),
          unknown + (wasUnknown ? 1 : 0));
    }
  }

  AccountRequestCounts(long sinceEpochMillis) {
    this.sinceEpochMillis = sinceEpochMillis;
  }

  void add(RequestResult result) {
    ClientAccountId id = result.clientAccount();
    ClientAccountId countedAs =
        totals.containsKey(id) || totals.size() < MAX_ACCOUNTS - 1 ? id : OTHER_ACCOUNTS;
    totals = totals.put(countedAs, totals.getOrElse(countedAs, Totals.NONE).plus(result));
  }

  int size() {
    return totals.size();
  }

  AccountsReport.Figures figures(
      String writer,
      long nowEpochMillis,
      Option<AcceptedConfiguration> configuration,
      Option<EntryOverview> overview) {
    int entries = overview.map(EntryOverview::liveEntries).getOrElse(1);
    Vector<AccountsReport.Account> accounts =
        totals
            .toVector()
            .map(
                found -> {
                  int limit =
                      configuration
                          .flatMap(present -> present.cluster().clientAccounts().get(found._1()))
                          .map(account -> Math.max(1, account.maxConcurrent() / entries))
                          .getOrElse(0);
                  int open =
                      overview
                          .flatMap(present -> present.openRequestsByAccount().get(found._1()))
                          .getOrElse(0);
                  return account(found._1(), found._2(), open, limit);
                })
            .sortBy(AccountsReport.Account::id);
    return new AccountsReport.Figures(
        nowEpochMillis, writer, sinceEpochMillis, accounts, Vector.empty());
  }

  private static AccountsReport.Account account(
      ClientAccountId id, Totals found, int open, int limit) {
    return new AccountsReport.Account(
        id.value(),
        found.requests(),
        found.answered(),
        found.limited(),
        found.overloaded(),
        found.unknown(),
        open,
        limit);
  }
}
