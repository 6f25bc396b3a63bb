package io.zinniawood.entry.reporting;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.acceptance.AcceptanceNotice;
import io.zinniawood.core.acceptance.FileVersion;
import io.zinniawood.core.entry.Incident;
import io.zinniawood.core.entry.IncidentKind;
import io.zinniawood.core.entry.RequestResult;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.entry.ReportFormat;
import io.zinniawood.report.Report;
import io.zinniawood.report.Section;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.Table;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.TableWriteResult;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class EntryReportsTest {
  private static final long NOW = 1_796_364_000_000L;
  private static final String FAULT =
      "20-models.toml:3:10: models.<b>x</b>.layers: found 0, expected 1 to 1000";

  private final InMemoryObjectStore store = new InMemoryObjectStore();
  private final EntryReports reports =
      new EntryReports(
          new EntryReports.Dependencies(
              "entry-1",
              "helsinki-a",
              "a",
              store,
              new UnavailableTable(),
              mode -> {},
              () -> NOW,
              () -> 0));

  /** Table that fails every call. */
  private static final class UnavailableTable implements Table {
    @Override
    public CompletableFuture<Either<PlatformError, Option<TableRow>>> read(String key) {
      return CompletableFuture.completedFuture(
          Either.left(new PlatformError.Unavailable("outage")));
    }

    @Override
    public CompletableFuture<Either<PlatformError, TableWriteResult>> write(
        String key, long expectedVersion, byte[] value) {
      return CompletableFuture.completedFuture(
          Either.left(new PlatformError.Unavailable("outage")));
    }
  }

  @AfterEach
  void close() {
    reports.close();
  }

  private String render(String name, ReportFormat format) {
    return reports.render(name, format).join().get();
  }

  private static RequestResult result(String account, Option<ProblemType> problem) {
    return new RequestResult(
        new RequestId("r"),
        new ClientAccountId(account),
        "assistant",
        problem.isDefined() ? Outcome.NOT_RUN : Outcome.COMPLETED,
        problem,
        1_000_000,
        Option.none(),
        Option.none(),
        1,
        1,
        Option.none());
  }

  // Guards against markup from a file name or setting that the operator's browser would execute,
  // and against a rejected edit without its location, the value found and the values expected.
  @Test
  void rejectedEditIsShownEscapedWithItsLocation() {
    reports.onAcceptanceNotice(
        new AcceptanceNotice.Rejected(
            new Generation(1),
            Vector.of(FAULT),
            Vector.of(
                new FileVersion("10-<script>.toml", "7"), new FileVersion("20-models.toml", "8"))));
    assertThat(
        render("incidents", ReportFormat.TEXT),
        containsString("An edit of 20-models.toml was not accepted"));
    for (String name : Vector.of("configuration", "incidents")) {
      String html = render(name, ReportFormat.HTML);
      assertThat(html, containsString("20-models.toml:3:10: models.&lt;b&gt;x&lt;/b&gt;.layers"));
      assertThat(html, not(containsString("<b>x")));
      assertThat(html, not(containsString("<script>")));
      assertThat(render(name, ReportFormat.TEXT), containsString("found 0, expected 1 to 1000"));
    }
  }

  // Guards against memory that grows with each distinct incident subject or account, and against
  // many incidents of one kind displacing the other kinds.
  @Test
  void floodsOfIncidentsAndAccountsAreBounded() {
    IncidentLog incidents = new IncidentLog(NOW);
    incidents.add(new Incident(IncidentKind.LEASE_TAKEN, "entry-1", "holds the lease"), NOW);
    for (int i = 0; i < 5_000; i++) {
      incidents.add(new Incident(IncidentKind.ENDPOINT_LOST, "e" + i, "x".repeat(10_000)), NOW + i);
    }
    assertThat(
        incidents.figures("entry-1", NOW).incidents().size(), is(IncidentLog.MAX_PER_KIND + 1));
    assertThat(incidents.figures("entry-1", NOW).dropped(), is(5_000L - IncidentLog.MAX_PER_KIND));
    AccountRequestCounts accounts = new AccountRequestCounts(NOW);
    for (int i = 0; i < 10_000; i++) {
      accounts.add(result("account-" + i, Option.none()));
    }
    assertThat(accounts.size(), is(AccountRequestCounts.MAX_ACCOUNTS));
    assertThat(
        accounts
            .figures("entry-1", NOW, Option.none(), Option.none())
            .accounts()
            .map(found -> found.requests())
            .sum()
            .longValue(),
        is(10_000L));
  }

  // Guards against refused requests that count as answered in the accounts report.
  @Test
  void accountsReportShowsWhyRequestsWereRefused() {
    reports.onResult(result("kiosk", Option.none()));
    reports.onResult(result("kiosk", Option.some(ProblemType.ACCOUNT_LIMIT)));
    reports.onResult(result("kiosk", Option.some(ProblemType.OVERLOADED)));
    String text = render("accounts", ReportFormat.TEXT);
    assertThat(text, containsString("kiosk reached its own limit: 1 request"));
    assertThat(text, containsString("kiosk: 1 request was refused"));
    assertThat(render("accounts", ReportFormat.JSON), containsString("\"kiosk\""));
  }

  // Guards against reports that show data as known although the object store is down or the event
  // loop does not answer.
  @Test
  void reportsMarkUnavailableDataAsNotKnown() {
    store.setUnavailable(true);
    assertThat(
        render("burn", ReportFormat.TEXT),
        containsString("[not known] The object store does not answer (outage)."));
    assertThat(
        render("fleet", ReportFormat.TEXT),
        containsString("[not known] Entry entry-1 does not tell its state."));
    assertThat(reports.render("keys", ReportFormat.TEXT).join(), is(Option.none()));
  }

  // Guards against writing unchanged reports every time, and against failed writes that are
  // never retried.
  @Test
  void reportsAreWrittenAfterChangesAndFailedWrites() {
    ReportWriter writer = new ReportWriter(store, Runnable::run);
    Report report =
        new Report("Fleet", NOW, "entry-1", Vector.of(new Section("Summary", Vector.empty())));
    store.setUnavailable(true);
    writer.write("fleet", report);
    store.setUnavailable(false);
    writer.write("fleet", report);
    writer.write("fleet", new Report("Fleet", NOW + 30_000, "entry-1", report.sections()));
    assertThat(store.writeCount(), is(2));
    assertThat(store.text("reports/fleet.txt").isDefined(), is(true));
    writer.write("fleet", new Report("Fleet", NOW + 60_000, "entry-1", Vector.empty()));
    assertThat(store.writeCount(), is(4));
  }
}
