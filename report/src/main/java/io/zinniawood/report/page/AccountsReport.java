package io.zinniawood.report.page;

import io.vavr.collection.Vector;
import io.zinniawood.report.Block;
import io.zinniawood.report.Report;
import io.zinniawood.report.Section;
import io.zinniawood.report.Tone;
import io.zinniawood.report.Wording;

/** Report on client accounts. */
public final class AccountsReport {
  private static final int SHOWN_ACCOUNTS = 50;

  private AccountsReport() {}

  /**
   * Figures of a client account over the period.
   *
   * @param id id
   * @param requests requests
   * @param answered requests that were answered
   * @param limited requests refused because the account reached its limit
   * @param overloaded requests refused because the system had no capacity
   * @param unknown requests of unknown outcome
   * @param openNow requests in progress
   * @param maxConcurrent limit of open requests at this entry
   */
  public record Account(
      String id,
      long requests,
      long answered,
      long limited,
      long overloaded,
      long unknown,
      int openNow,
      int maxConcurrent) {
    private long otherFailures() {
      return Math.max(0, requests - answered - limited - overloaded - unknown);
    }
  }

  /**
   * Figures of the report.
   *
   * @param nowEpochMillis time of writing in milliseconds since 1970
   * @param writer entry that writes
   * @param sinceEpochMillis start of the period in milliseconds since 1970
   * @param accounts accounts
   * @param dataCentres age of the figures of each data centre
   */
  public record Figures(
      long nowEpochMillis,
      String writer,
      long sinceEpochMillis,
      Vector<Account> accounts,
      Vector<DataCentreFigures> dataCentres) {}

  /** Returns the report. */
  public static Report of(Figures figures) {
    Vector<Account> ordered = figures.accounts().sortBy(account -> -account.requests());
    Vector<Block> gaps =
        figures
            .dataCentres()
            .flatMap(found -> found.gap(figures.nowEpochMillis(), BurnReport.OLD_MILLIS));
    Vector<Section> sections =
        Vector.of(new Section("Summary", gaps.prependAll(summary(figures, ordered))));
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
                  .formatted(Wording.minute(figures.sinceEpochMillis()))));
    }
    long requests = accounts.map(Account::requests).sum().longValue();
    Vector<Block> lines =
        Vector.of(
            new Block.Line(
                Tone.PLAIN,
                "%s of %s since %s."
                    .formatted(
                        Wording.count(requests, "request"),
                        Wording.count(accounts.size(), "client account"),
                        Wording.minute(figures.sinceEpochMillis()))));
    return lines.appendAll(accounts.flatMap(AccountsReport::remarks));
  }

  private static Vector<Block> remarks(Account account) {
    Vector<Block> lines = Vector.empty();
    if (account.limited() > 0) {
      lines =
          lines.append(
              new Block.Line(
                  Tone.WARNING,
                  ("%s reached its own limit: %s %s refused as not run. Raise its limits if that"
                          + " load is wanted.")
                      .formatted(
                          account.id(),
                          Wording.count(account.limited(), "request"),
                          were(account.limited()))));
    }
    if (account.overloaded() > 0) {
      lines =
          lines.append(
              new Block.Line(
                  Tone.BAD,
                  "%s: %s %s refused as not run because the system had no capacity."
                      .formatted(
                          account.id(),
                          Wording.count(account.overloaded(), "request"),
                          were(account.overloaded()))));
    }
    if (account.unknown() > 0) {
      lines =
          lines.append(
              new Block.Line(
                  Tone.BAD,
                  ("%s: the outcome of %s is not known. The caller was told so and may repeat calls"
                          + " with the same idempotency key.")
                      .formatted(account.id(), Wording.count(account.unknown(), "request"))));
    }
    return lines;
  }

  private static String were(long count) {
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
            new Block.Table(columns, accounts.take(SHOWN_ACCOUNTS).map(AccountsReport::row)));
    int hidden = accounts.size() - SHOWN_ACCOUNTS;
    return hidden <= 0
        ? section
        : section.with(
            new Block.Line(
                Tone.PLAIN,
                "%s with fewer requests are not shown."
                    .formatted(Wording.count(hidden, "client account"))));
  }

  private static Vector<String> row(Account account) {
    return Vector.of(
        account.id(),
        Wording.grouped(account.requests()),
        account.requests() == 0
            ? "-"
            : Wording.percent((double) account.answered() / account.requests()),
        Wording.grouped(account.limited()),
        Wording.grouped(account.overloaded()),
        Wording.grouped(account.unknown()),
        Wording.grouped(account.otherFailures()),
        "%d of %d".formatted(account.openNow(), account.maxConcurrent()));
  }
}
