package io.zinniawood.report.page;

import io.vavr.collection.Vector;
import io.zinniawood.report.Block;
import io.zinniawood.report.DisplayFormat;
import io.zinniawood.report.Report;
import io.zinniawood.report.Section;
import io.zinniawood.report.Tone;

/** Report on the requests of client accounts and the reasons for refusals. */
public final class AccountsReport {
  private static final int MAX_SHOWN_ACCOUNTS = 50;

  private AccountsReport() {}

  /**
   * Figures of a client account over the period.
   *
   * @param id id of the client account
   * @param requests number of all requests
   * @param answered requests that were answered
   * @param overLimit requests refused because the account reached its limit
   * @param overloaded requests refused because the system had no capacity
   * @param outcomeUnknown requests that may or may not have run
   * @param openRequests requests in progress now
   * @param maxConcurrent maximum number of requests in progress at this entry
   */
  public record Account(
      String id,
      long requests,
      long answered,
      long overLimit,
      long overloaded,
      long outcomeUnknown,
      int openRequests,
      int maxConcurrent) {
    private long otherFailures() {
      return Math.max(0, requests - answered - overLimit - overloaded - outcomeUnknown);
    }
  }

  /**
   * Input of the report.
   *
   * @param nowEpochMillis creation time of the report in milliseconds since 1970
   * @param writer name of the entry that creates the report
   * @param sinceEpochMillis start of the period in milliseconds since 1970
   * @param accounts client accounts in any order
   * @param dataCentres freshness of the figures of each data centre
   */
  public record Figures(
      long nowEpochMillis,
      String writer,
      long sinceEpochMillis,
      Vector<Account> accounts,
      Vector<DataCentreFreshness> dataCentres) {}

  /** Builds the report from the figures. */
  public static Report of(Figures figures) {
    Vector<Account> ordered = figures.accounts().sortBy(account -> -account.requests());
    Vector<Block> missingData =
        figures
            .dataCentres()
            .flatMap(
                dataCentre ->
                    dataCentre.missingDataLine(
                        figures.nowEpochMillis(), ServiceLevelReport.STALE_AFTER_MILLIS));
    Vector<Section> sections =
        Vector.of(new Section("Summary", missingData.prependAll(summary(figures, ordered))));
    return new Report(
        "Client accounts",
        figures.nowEpochMillis(),
        figures.writer(),
        ordered.isEmpty() ? sections : sections.append(table(ordered)));
  }

  private static Vector<Block> summary(Figures figures, Vector<Account> accounts) {
    if (accounts.isEmpty()) {
      return Vector.of(
          new Block.Line(
              Tone.UNKNOWN,
              "No request of any client account was counted since %s."
                  .formatted(DisplayFormat.timeToMinute(figures.sinceEpochMillis()))));
    }
    long requests = accounts.map(Account::requests).sum().longValue();
    Vector<Block> lines =
        Vector.of(
            new Block.Line(
                Tone.PLAIN,
                "%s of %s since %s."
                    .formatted(
                        DisplayFormat.count(requests, "request"),
                        DisplayFormat.count(accounts.size(), "client account"),
                        DisplayFormat.timeToMinute(figures.sinceEpochMillis()))));
    return lines.appendAll(accounts.flatMap(AccountsReport::accountLines));
  }

  private static Vector<Block> accountLines(Account account) {
    Vector<Block> lines = Vector.empty();
    if (account.overLimit() > 0) {
      lines =
          lines.append(
              new Block.Line(
                  Tone.WARNING,
                  ("%s reached its own limit: %s %s refused as not run. Raise its limits if that"
                          + " load is wanted.")
                      .formatted(
                          account.id(),
                          DisplayFormat.count(account.overLimit(), "request"),
                          wasOrWere(account.overLimit()))));
    }
    if (account.overloaded() > 0) {
      lines =
          lines.append(
              new Block.Line(
                  Tone.BAD,
                  "%s: %s %s refused as not run because the system had no capacity."
                      .formatted(
                          account.id(),
                          DisplayFormat.count(account.overloaded(), "request"),
                          wasOrWere(account.overloaded()))));
    }
    if (account.outcomeUnknown() > 0) {
      lines =
          lines.append(
              new Block.Line(
                  Tone.BAD,
                  ("%s: the outcome of %s is not known. The caller was told so and may repeat calls"
                          + " with the same idempotency key.")
                      .formatted(
                          account.id(), DisplayFormat.count(account.outcomeUnknown(), "request"))));
    }
    return lines;
  }

  private static String wasOrWere(long count) {
    return count == 1 ? "was" : "were";
  }

  private static Section table(Vector<Account> accounts) {
    Vector<Block.Column> columns =
        Vector.of(
            Block.Column.text("client account"),
            Block.Column.number("requests"),
            Block.Column.number("answered"),
            Block.Column.number("over limit"),
            Block.Column.number("no capacity"),
            Block.Column.number("unknown"),
            Block.Column.number("other failures"),
            Block.Column.number("open now"));
    Section section =
        Section.of(
            "All accounts",
            new Block.Table(columns, accounts.take(MAX_SHOWN_ACCOUNTS).map(AccountsReport::row)));
    int hidden = accounts.size() - MAX_SHOWN_ACCOUNTS;
    return hidden <= 0
        ? section
        : section.with(
            new Block.Line(
                Tone.PLAIN,
                "%s with fewer requests are not shown."
                    .formatted(DisplayFormat.count(hidden, "client account"))));
  }

  private static Vector<String> row(Account account) {
    return Vector.of(
        account.id(),
        DisplayFormat.wholeNumber(account.requests()),
        account.requests() == 0
            ? "-"
            : DisplayFormat.percent((double) account.answered() / account.requests()),
        DisplayFormat.wholeNumber(account.overLimit()),
        DisplayFormat.wholeNumber(account.overloaded()),
        DisplayFormat.wholeNumber(account.outcomeUnknown()),
        DisplayFormat.wholeNumber(account.otherFailures()),
        "%d of %d".formatted(account.openRequests(), account.maxConcurrent()));
  }
}
