package io.zinniawood.entry.reporting;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.acceptance.AcceptanceNotice;
import io.zinniawood.core.acceptance.FileVersion;
import io.zinniawood.core.acceptance.PollMode;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.configuration.Objective;
import io.zinniawood.core.entry.EntryOverview;
import io.zinniawood.core.entry.EntryState;
import io.zinniawood.core.entry.Incident;
import io.zinniawood.core.entry.IncidentKind;
import io.zinniawood.core.entry.RequestResult;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message;
import io.zinniawood.entry.EntryObserver;
import io.zinniawood.entry.ReportFormat;
import io.zinniawood.entry.ReportSource;
import io.zinniawood.entry.acceptance.AcceptanceJournal;
import io.zinniawood.report.HtmlRenderer;
import io.zinniawood.report.JsonRenderer;
import io.zinniawood.report.Report;
import io.zinniawood.report.TextRenderer;
import io.zinniawood.store.ObjectStore;
import io.zinniawood.store.Table;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Collects the results and incidents of an entry and supplies its reports. All work runs on a
 * dedicated thread, so that the event loop and other callers never wait.
 */
public final class EntryReports implements EntryObserver, ReportSource, AutoCloseable {
  private static final Logger LOGGER = System.getLogger(EntryReports.class.getName());

  private static final int TICK_MILLIS = 1_000;
  private static final int COUNTS_INTERVAL_TICKS = 10;
  private static final int STORE_WRITE_INTERVAL_TICKS = 30;
  private static final int CONFIGURATION_REPORT_INTERVAL_TICKS = 2;

  /** Stops the merging after 2.5 intervals in which no entry sent its counts to this one. */
  private static final long MERGING_TIMEOUT_MILLIS = 2_500L * COUNTS_INTERVAL_TICKS;

  /**
   * Bounds memory if the thread stalls; 64 requests/s reach it after 2 min, later ones are dropped.
   */
  private static final int MAX_QUEUED_TASKS = 8_192;

  private final Dependencies dependencies;
  private final ScheduledExecutorService executor;
  private final AtomicInteger queuedTasks = new AtomicInteger();
  private final PeerGenerations peers = new PeerGenerations();
  private final AcceptanceJournal journal;
  private final IncidentLog incidents;
  private final AccountRequestCounts accountCounts;
  private final CountsSender countsSender;
  private final CountsMerger countsMerger;
  private final CountsReader countsReader;
  private final ReportWriter reportWriter;
  private final ReportPages pages;
  private final EntrySnapshotReader snapshotReader;
  private Option<ReportedEntry> reportedEntry = Option.none();
  private Option<AcceptedConfiguration> configuration = Option.none();
  private Option<AcceptanceNotice> lastDecision = Option.none();
  private Option<Long> lastCountsReceivedMillis = Option.none();
  private boolean holdsLease;
  private long ticks;

  /**
   * Dependencies of the reports.
   *
   * @param vm VM of the entry, which reports name as their writer
   * @param dataCentre data centre of the entry
   * @param incarnation identifies this start of the process on its VM
   * @param objects object store
   * @param table table with the row of the controller lease
   * @param pollModeSetter with POLLING, makes this entry always read the configuration folder
   * @param clockEpochMillis wall clock in milliseconds since 1970
   * @param clockNanos monotonic clock in nanoseconds
   */
  public record Dependencies(
      String vm,
      String dataCentre,
      String incarnation,
      ObjectStore objects,
      Table table,
      Consumer<PollMode> pollModeSetter,
      LongSupplier clockEpochMillis,
      LongSupplier clockNanos) {}

  /** Creates reports without starting the periodic work. */
  public EntryReports(Dependencies dependencies) {
    this.dependencies = dependencies;
    this.executor =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "entry-reports");
              thread.setDaemon(true);
              return thread;
            });
    long nowMillis = dependencies.clockEpochMillis().getAsLong();
    String source = dependencies.vm() + "/" + dependencies.incarnation();
    this.journal = new AcceptanceJournal(dependencies.clockEpochMillis());
    this.incidents = new IncidentLog(nowMillis);
    this.accountCounts = new AccountRequestCounts(nowMillis);
    this.countsSender = new CountsSender(source);
    this.countsMerger =
        new CountsMerger(dependencies.dataCentre(), dependencies.objects(), executor);
    this.countsReader = new CountsReader(dependencies.objects(), executor);
    this.reportWriter = new ReportWriter(dependencies.objects(), executor);
    this.pages =
        new ReportPages(
            dependencies.vm(),
            dependencies.dataCentre(),
            nowMillis,
            new ReportPages.CollectedData(
                journal, peers, incidents, accountCounts, countsSender, countsReader));
    this.snapshotReader = new EntrySnapshotReader(dependencies, executor);
    // Spreads the writes of entries that start at the same time.
    this.ticks = Math.floorMod(source.hashCode(), STORE_WRITE_INTERVAL_TICKS);
  }

  /** Sets the entry to report on and starts the periodic work. */
  public void start(ReportedEntry entry) {
    submit(() -> reportedEntry = Option.some(entry));
    ScheduledFuture<?> unused =
        executor.scheduleWithFixedDelay(
            this::tickSafely, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void onResult(RequestResult result) {
    submit(() -> countResult(result));
  }

  @Override
  public void onIncident(Incident incident) {
    submit(() -> incidents.add(incident, nowEpochMillis()));
  }

  @Override
  public void onConfiguration(AcceptedConfiguration accepted) {
    submit(
        () -> {
          configuration = Option.some(accepted);
          journal.recordInForce(accepted);
          // The acceptance notice may arrive before the configuration is in force, so repeat it.
          lastDecision
              .filter(
                  notice ->
                      notice instanceof AcceptanceNotice.Accepted found
                          && found.generation().equals(accepted.generation()))
              .forEach(journal);
        });
  }

  @Override
  public void onPeerGeneration(String node, Generation generation) {
    peers.update(node, generation, nowEpochMillis());
  }

  /** Records an accepted or rejected edit of the configuration, or a problem of its store. */
  public void onAcceptanceNotice(AcceptanceNotice notice) {
    submit(
        () -> {
          if (notice instanceof AcceptanceNotice.Rejected rejected && isNew(rejected)) {
            incidents.add(
                new Incident(
                    IncidentKind.CONFIGURATION_REJECTED,
                    fileOfFirstFault(rejected),
                    rejected.faults().headOption().getOrElse("")),
                nowEpochMillis());
          }
          if (!(notice instanceof AcceptanceNotice.StoreTrouble)
              && !(notice instanceof AcceptanceNotice.Overwritten)
              && !(notice instanceof AcceptanceNotice.Inconsistent)) {
            lastDecision = Option.some(notice);
          }
          journal.accept(notice);
        });
  }

  /** Returns the file of the first fault, which starts with {@code file:line:}. */
  private static String fileOfFirstFault(AcceptanceNotice.Rejected rejected) {
    String fault = rejected.faults().headOption().getOrElse("");
    return rejected
        .files()
        .map(FileVersion::name)
        .find(name -> fault.startsWith(name + ":"))
        .getOrElse("the folder");
  }

  private boolean isNew(AcceptanceNotice.Rejected rejected) {
    return !lastDecision.exists(
        last ->
            last instanceof AcceptanceNotice.Rejected before
                && before.faults().equals(rejected.faults()));
  }

  @Override
  public void onObjectiveCounts(
      Message.ObjectiveCounts counts, Consumer<Message.ObjectiveCounts> reply) {
    submit(
        () -> {
          Option<CountsReceipt> receipt = CountsReceipt.fromMessage(counts);
          if (receipt.isDefined()) {
            countsSender.onReceipt(receipt.get());
          } else {
            mergeCounts(counts, reply);
          }
        });
  }

  private void mergeCounts(
      Message.ObjectiveCounts counts, Consumer<Message.ObjectiveCounts> reply) {
    Either<?, CountsDelta> delta = CountsDelta.fromMessage(counts);
    if (delta.isLeft()) {
      LOGGER.log(Level.WARNING, "ignoring invalid service-level counts from {0}", counts.source());
      return;
    }
    boolean startsMerging = lastCountsReceivedMillis.isEmpty();
    lastCountsReceivedMillis = Option.some(nowEpochMillis());
    Option<CountsReceipt> receipt = countsMerger.offer(delta.get());
    if (receipt.isDefined()) {
      reply.accept(receipt.get().toMessage());
    } else if (startsMerging) {
      countsMerger.flush(nowEpochMillis());
    }
  }

  @Override
  public Vector<String> names() {
    return ReportPages.NAMES;
  }

  @Override
  public CompletableFuture<Option<String>> render(String name, ReportFormat format) {
    if (!ReportPages.NAMES.contains(name)) {
      return CompletableFuture.completedFuture(Option.none());
    }
    CompletableFuture<Boolean> figures =
        ReportPages.BURN.equals(name)
            ? CompletableFuture.supplyAsync(countsReader::read, executor).thenCompose(read -> read)
            : CompletableFuture.completedFuture(true);
    return figures
        .thenComposeAsync(read -> readSnapshot(), executor)
        .thenApplyAsync(
            snapshot -> pages.report(name, snapshot).map(report -> renderAs(report, format)),
            executor);
  }

  private static String renderAs(Report report, ReportFormat format) {
    return switch (format) {
      case HTML -> new HtmlRenderer().render(report);
      case TEXT -> new TextRenderer().render(report);
      case JSON -> new JsonRenderer().render(report);
    };
  }

  private void countResult(RequestResult result) {
    accountCounts.add(result);
    for (Objective objective :
        configuration.map(found -> found.cluster().objectives()).getOrElse(Vector.empty())) {
      ObjectiveEvaluator.evaluate(result, objective)
          .forEach(
              observation -> countsSender.count(objective.name(), nowEpochMillis(), observation));
    }
  }

  private CompletableFuture<ReportPages.EntrySnapshot> readSnapshot() {
    return snapshotReader.read(reportedEntry, configuration);
  }

  private void tickSafely() {
    try {
      tick();
    } catch (RuntimeException | Error failure) {
      // An uncaught throwable would cancel the schedule and stop all later reports.
      LOGGER.log(Level.ERROR, "periodic work of the reports failed", failure);
    }
  }

  private void tick() {
    ticks++;
    long nowMillis = nowEpochMillis();
    peers.removeStale(nowMillis);
    if (ticks % COUNTS_INTERVAL_TICKS == 0) {
      countsSender
          .endInterval(nowMillis)
          .forEach(message -> reportedEntry.forEach(entry -> entry.publish(message)));
    }
    boolean storeDue = ticks % STORE_WRITE_INTERVAL_TICKS == 0;
    if (lastCountsReceivedMillis.exists(last -> nowMillis - last > MERGING_TIMEOUT_MILLIS)) {
      lastCountsReceivedMillis = Option.none();
    }
    if (storeDue && lastCountsReceivedMillis.isDefined()) {
      countsMerger.flush(nowMillis);
    }
    boolean configurationReportDue = ticks % CONFIGURATION_REPORT_INTERVAL_TICKS == 0;
    reportedEntry.forEach(
        entry ->
            entry.readState(
                state -> submit(() -> writeReports(state, storeDue, configurationReportDue))));
  }

  /** Writes the reports to the object store if this entry holds the controller lease. */
  private void writeReports(EntryState state, boolean storeDue, boolean configurationReportDue) {
    EntryOverview overview = EntryOverview.of(state, dependencies.clockNanos().getAsLong());
    boolean heldLease = holdsLease;
    holdsLease = EntrySnapshotReader.holdsControllerLease(overview);
    if (holdsLease != heldLease) {
      reportWriter.clearLastWritten();
      // The lease holder publishes rejected edits, so it must read the folder itself.
      dependencies.pollModeSetter().accept(holdsLease ? PollMode.POLLING : PollMode.FOLLOWING);
    }
    if (!holdsLease) {
      return;
    }
    ReportPages.EntrySnapshot snapshot =
        new ReportPages.EntrySnapshot(
            nowEpochMillis(), configuration, Option.some(overview), Option.some(dependencies.vm()));
    if (!heldLease) {
      reportWriter.writeIndex(ReportPages.NAMES);
    }
    if (configurationReportDue) {
      writeReport(ReportPages.CONFIGURATION, snapshot);
    }
    if (storeDue || !heldLease) {
      var unused =
          countsReader
              .read()
              .thenAcceptAsync(
                  read -> ReportPages.NAMES.forEach(name -> writeReport(name, snapshot)), executor);
    }
  }

  private void writeReport(String name, ReportPages.EntrySnapshot snapshot) {
    pages.report(name, snapshot).forEach(report -> reportWriter.write(name, report));
  }

  private long nowEpochMillis() {
    return dependencies.clockEpochMillis().getAsLong();
  }

  private void submit(Runnable task) {
    if (queuedTasks.incrementAndGet() > MAX_QUEUED_TASKS) {
      queuedTasks.decrementAndGet();
      return;
    }
    try {
      executor.execute(
          () -> {
            queuedTasks.decrementAndGet();
            task.run();
          });
    } catch (RejectedExecutionException closed) {
      LOGGER.log(Level.DEBUG, "reports are closed; task is dropped");
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
