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
 * Collects what happens in an entry and supplies its reports. All work is done on a thread of its
 * own, so that callers, the event loop among them, never wait.
 */
public final class EntryReports implements EntryObserver, ReportSource, AutoCloseable {
  private static final Logger LOGGER = System.getLogger(EntryReports.class.getName());

  private static final int TICK_MILLIS = 1_000;
  private static final int COUNTS_INTERVAL_TICKS = 10;
  private static final int STORE_WRITE_INTERVAL_TICKS = 30;
  private static final int CONFIGURATION_REPORT_INTERVAL_TICKS = 2;

  /** An entry that got no counts for two rounds no longer merges those of its data centre. */
  private static final long MERGING_TIMEOUT_MILLIS = 2_500L * COUNTS_INTERVAL_TICKS;

  /** Results that wait for the thread; at 64 requests/s it is reached after 2 min of standstill. */
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
   * What the reports work with.
   *
   * @param vm VM of the entry, which reports name as their writer
   * @param dataCentre data centre of the entry
   * @param incarnation differs between two starts of one VM
   * @param objects object store
   * @param table table, for the holder of the controller lease
   * @param pollModeSetter sets whether this entry reads the configuration folder in any case
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

  /** Creates reports that are not started. */
  public EntryReports(Dependencies parts) {
    this.dependencies = parts;
    this.executor =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "entry-reports");
              thread.setDaemon(true);
              return thread;
            });
    long nowMillis = parts.clockEpochMillis().getAsLong();
    String source = parts.vm() + "/" + parts.incarnation();
    this.journal = new AcceptanceJournal(parts.clockEpochMillis());
    this.incidents = new IncidentLog(nowMillis);
    this.accountCounts = new AccountRequestCounts(nowMillis);
    this.countsSender = new CountsSender(source);
    this.countsMerger = new CountsMerger(parts.dataCentre(), parts.objects(), executor);
    this.countsReader = new CountsReader(parts.objects(), executor);
    this.reportWriter = new ReportWriter(parts.objects(), executor);
    this.pages =
        new ReportPages(
            parts.vm(),
            parts.dataCentre(),
            nowMillis,
            new ReportPages.CollectedData(
                journal, peers, incidents, accountCounts, countsSender, countsReader));
    this.snapshotReader = new EntrySnapshotReader(parts, executor);
    // Entries that start together must not all write in the same second.
    this.ticks = Math.floorMod(source.hashCode(), STORE_WRITE_INTERVAL_TICKS);
  }

  /** Connects the reports with the entry and starts the periodic work. */
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
          journal.inForce(accepted);
          // The notice of an acceptance may come before the configuration is in force here.
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

  /** Takes a notice of the acceptance of configurations. */
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
      LOGGER.log(Level.WARNING, "counts of {0} are not valid", counts.source());
      return;
    }
    boolean first = lastCountsReceivedMillis.isEmpty();
    lastCountsReceivedMillis = Option.some(nowEpochMillis());
    Option<CountsReceipt> receipt = countsMerger.offer(delta.get());
    if (receipt.isDefined()) {
      reply.accept(receipt.get().toMessage());
    } else if (first) {
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
            moment -> pages.report(name, moment).map(report -> renderAs(report, format)), executor);
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
    } catch (RuntimeException fault) {
      // An exception would end the schedule and with it all later reports.
      LOGGER.log(Level.ERROR, "reports failed", fault);
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
    boolean storeRound = ticks % STORE_WRITE_INTERVAL_TICKS == 0;
    if (lastCountsReceivedMillis.exists(last -> nowMillis - last > MERGING_TIMEOUT_MILLIS)) {
      lastCountsReceivedMillis = Option.none();
    }
    if (storeRound && lastCountsReceivedMillis.isDefined()) {
      countsMerger.flush(nowMillis);
    }
    boolean configurationRound = ticks % CONFIGURATION_REPORT_INTERVAL_TICKS == 0;
    reportedEntry.forEach(
        entry ->
            entry.readState(
                state -> submit(() -> writeReports(state, storeRound, configurationRound))));
  }

  /** Writes the reports to the object store if this entry holds the controller lease. */
  private void writeReports(EntryState state, boolean storeRound, boolean configurationRound) {
    EntryOverview overview = EntryOverview.of(state, dependencies.clockNanos().getAsLong());
    boolean before = holdsLease;
    holdsLease = EntrySnapshotReader.holdsControllerLease(overview);
    if (holdsLease != before) {
      reportWriter.clearLastWritten();
      // The holder publishes rejected edits, so it must see them itself.
      dependencies.pollModeSetter().accept(holdsLease ? PollMode.POLLING : PollMode.FOLLOWING);
    }
    if (!holdsLease) {
      return;
    }
    ReportPages.EntrySnapshot moment =
        new ReportPages.EntrySnapshot(
            nowEpochMillis(), configuration, Option.some(overview), Option.some(dependencies.vm()));
    if (!before) {
      reportWriter.writeIndex(ReportPages.NAMES);
    }
    if (configurationRound) {
      writeReport(ReportPages.CONFIGURATION, moment);
    }
    if (storeRound || !before) {
      var unused =
          countsReader
              .read()
              .thenAcceptAsync(
                  read -> ReportPages.NAMES.forEach(name -> writeReport(name, moment)), executor);
    }
  }

  private void writeReport(String name, ReportPages.EntrySnapshot moment) {
    pages.report(name, moment).forEach(report -> reportWriter.write(name, report));
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
      LOGGER.log(Level.DEBUG, "reports are closed");
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
