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
  private static final int COUNTS_TICKS = 10;
  private static final int STORE_TICKS = 30;
  private static final int CONFIGURATION_TICKS = 2;

  /** An entry that got no counts for two rounds no longer merges those of its data centre. */
  private static final long MERGING_MILLIS = 2_500L * COUNTS_TICKS;

  /** Results that wait for the thread; at 64 requests/s it is reached after 2 min of standstill. */
  private static final int MAX_WAITING = 8_192;

  private final Parts parts;
  private final ScheduledExecutorService executor;
  private final AtomicInteger waiting = new AtomicInteger();
  private final PeerGenerations peers = new PeerGenerations();
  private final AcceptanceJournal journal;
  private final IncidentLog incidents;
  private final AccountLog accounts;
  private final CountsSender sender;
  private final CountsCollector collector;
  private final CountsReader reader;
  private final ReportFiles files;
  private final ReportPages pages;
  private final Moments moments;
  private Option<EntryLink> link = Option.none();
  private Option<AcceptedConfiguration> configuration = Option.none();
  private Option<AcceptanceNotice> lastVerdict = Option.none();
  private Option<Long> mergingSinceMillis = Option.none();
  private boolean holder;
  private long ticks;

  /**
   * What the reports work with.
   *
   * @param vm VM of the entry, which reports name as their writer
   * @param dataCentre data centre of the entry
   * @param incarnation differs between two starts of one VM
   * @param objects object store
   * @param table table, for the holder of the controller lease
   * @param folderReading sets whether this entry reads the configuration folder in any case
   * @param clockEpochMillis wall clock in milliseconds since 1970
   * @param clockNanos monotonic clock in nanoseconds
   */
  public record Parts(
      String vm,
      String dataCentre,
      String incarnation,
      ObjectStore objects,
      Table table,
      Consumer<PollMode> folderReading,
      LongSupplier clockEpochMillis,
      LongSupplier clockNanos) {}

  /** Creates reports that are not started. */
  public EntryReports(Parts parts) {
    this.parts = parts;
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
    this.accounts = new AccountLog(nowMillis);
    this.sender = new CountsSender(source);
    this.collector = new CountsCollector(parts.dataCentre(), parts.objects(), executor);
    this.reader = new CountsReader(parts.objects(), executor);
    this.files = new ReportFiles(parts.objects(), executor);
    this.pages =
        new ReportPages(
            parts.vm(),
            parts.dataCentre(),
            nowMillis,
            new ReportPages.Collected(journal, peers, incidents, accounts, sender, reader));
    this.moments = new Moments(parts, executor);
    // Entries that start together must not all write in the same second.
    this.ticks = Math.floorMod(source.hashCode(), STORE_TICKS);
  }

  /** Connects the reports with the entry and starts the periodic work. */
  public void start(EntryLink entry) {
    run(() -> link = Option.some(entry));
    ScheduledFuture<?> unused =
        executor.scheduleWithFixedDelay(
            this::tickSafely, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void onResult(RequestResult result) {
    run(() -> count(result));
  }

  @Override
  public void onIncident(Incident incident) {
    run(() -> incidents.add(incident, now()));
  }

  @Override
  public void onConfiguration(AcceptedConfiguration accepted) {
    run(
        () -> {
          configuration = Option.some(accepted);
          journal.recordInForce(accepted);
          // The notice of an acceptance may come before the configuration is in force here.
          lastVerdict
              .filter(
                  notice ->
                      notice instanceof AcceptanceNotice.Accepted found
                          && found.generation().equals(accepted.generation()))
              .forEach(journal);
        });
  }

  @Override
  public void onPeerGeneration(String node, Generation generation) {
    peers.heard(node, generation, now());
  }

  /** Takes a notice of the acceptance of configurations. */
  public void onNotice(AcceptanceNotice notice) {
    run(
        () -> {
          if (notice instanceof AcceptanceNotice.Rejected rejected && isNew(rejected)) {
            incidents.add(
                new Incident(
                    IncidentKind.CONFIGURATION_REJECTED,
                    file(rejected),
                    rejected.faults().headOption().getOrElse("")),
                now());
          }
          if (!(notice instanceof AcceptanceNotice.StoreTrouble)
              && !(notice instanceof AcceptanceNotice.Overwritten)
              && !(notice instanceof AcceptanceNotice.Inconsistent)) {
            lastVerdict = Option.some(notice);
          }
          journal.accept(notice);
        });
  }

  /** Returns the file of the first fault, which starts with {@code file:line:}. */
  private static String file(AcceptanceNotice.Rejected rejected) {
    String fault = rejected.faults().headOption().getOrElse("");
    return rejected
        .files()
        .map(FileVersion::name)
        .find(name -> fault.startsWith(name + ":"))
        .getOrElse("the folder");
  }

  private boolean isNew(AcceptanceNotice.Rejected rejected) {
    return !lastVerdict.exists(
        last ->
            last instanceof AcceptanceNotice.Rejected before
                && before.faults().equals(rejected.faults()));
  }

  @Override
  public void onObjectiveCounts(
      Message.ObjectiveCounts counts, Consumer<Message.ObjectiveCounts> reply) {
    run(
        () -> {
          Option<CountsReceipt> receipt = CountsReceipt.of(counts);
          if (receipt.isDefined()) {
            sender.onReceipt(receipt.get());
          } else {
            merge(counts, reply);
          }
        });
  }

  private void merge(Message.ObjectiveCounts counts, Consumer<Message.ObjectiveCounts> reply) {
    Either<?, CountsDelta> delta = CountsDelta.of(counts);
    if (delta.isLeft()) {
      LOGGER.log(Level.WARNING, "counts of {0} are not valid", counts.source());
      return;
    }
    boolean first = mergingSinceMillis.isEmpty();
    mergingSinceMillis = Option.some(now());
    Option<CountsReceipt> receipt = collector.offer(delta.get());
    if (receipt.isDefined()) {
      reply.accept(receipt.get().toMessage());
    } else if (first) {
      collector.flush(now());
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
            ? CompletableFuture.supplyAsync(reader::read, executor).thenCompose(read -> read)
            : CompletableFuture.completedFuture(true);
    return figures
        .thenComposeAsync(read -> moment(), executor)
        .thenApplyAsync(
            moment -> pages.report(name, moment).map(report -> text(report, format)), executor);
  }

  private static String text(Report report, ReportFormat format) {
    return switch (format) {
      case HTML -> new HtmlRenderer().render(report);
      case TEXT -> new TextRenderer().render(report);
      case JSON -> new JsonRenderer().render(report);
    };
  }

  private void count(RequestResult result) {
    accounts.add(result);
    for (Objective objective :
        configuration.map(found -> found.cluster().objectives()).getOrElse(Vector.empty())) {
      Judgement.of(result, objective)
          .forEach(observation -> sender.count(objective.name(), now(), observation));
    }
  }

  private CompletableFuture<ReportPages.Moment> moment() {
    return moments.read(link, configuration);
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
    long nowMillis = now();
    peers.forgetOld(nowMillis);
    if (ticks % COUNTS_TICKS == 0) {
      sender
          .endInterval(nowMillis)
          .forEach(message -> link.forEach(entry -> entry.publish(message)));
    }
    boolean storeRound = ticks % STORE_TICKS == 0;
    if (mergingSinceMillis.exists(last -> nowMillis - last > MERGING_MILLIS)) {
      mergingSinceMillis = Option.none();
    }
    if (storeRound && mergingSinceMillis.isDefined()) {
      collector.flush(nowMillis);
    }
    boolean configurationRound = ticks % CONFIGURATION_TICKS == 0;
    link.forEach(
        entry -> entry.readState(state -> run(() -> lead(state, storeRound, configurationRound))));
  }

  /** Writes the reports to the object store if this entry holds the controller lease. */
  private void lead(EntryState state, boolean storeRound, boolean configurationRound) {
    EntryOverview overview = EntryOverview.of(state, parts.clockNanos().getAsLong());
    boolean before = holder;
    holder = Moments.holds(overview);
    if (holder != before) {
      files.forget();
      // The holder publishes rejected edits, so it must see them itself.
      parts.folderReading().accept(holder ? PollMode.POLLING : PollMode.FOLLOWING);
    }
    if (!holder) {
      return;
    }
    ReportPages.Moment moment =
        new ReportPages.Moment(
            now(), configuration, Option.some(overview), Option.some(parts.vm()));
    if (!before) {
      files.writeIndex(ReportPages.NAMES);
    }
    if (configurationRound) {
      write(ReportPages.CONFIGURATION, moment);
    }
    if (storeRound || !before) {
      var unused =
          reader
              .read()
              .thenAcceptAsync(
                  read -> ReportPages.NAMES.forEach(name -> write(name, moment)), executor);
    }
  }

  private void write(String name, ReportPages.Moment moment) {
    pages.report(name, moment).forEach(report -> files.write(name, report));
  }

  private long now() {
    return parts.clockEpochMillis().getAsLong();
  }

  private void run(Runnable task) {
    if (waiting.incrementAndGet() > MAX_WAITING) {
      waiting.decrementAndGet();
      return;
    }
    try {
      executor.execute(
          () -> {
            waiting.decrementAndGet();
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
