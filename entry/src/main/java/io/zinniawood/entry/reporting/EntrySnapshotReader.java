package io.zinniawood.entry.reporting;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.entry.EntryOverview;
import io.zinniawood.core.entry.EntryState;
import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.lease.LeaseRowCodec;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/** Reads the current state of the entry for a report. */
final class EntrySnapshotReader {
  private static final long STATE_READ_TIMEOUT_MILLIS = 1_000;

  private final EntryReports.Dependencies dependencies;
  private final Executor executor;

  EntrySnapshotReader(EntryReports.Dependencies dependencies, Executor executor) {
    this.dependencies = dependencies;
    this.executor = executor;
  }

  /** Returns whether the entry holds the controller lease. */
  static boolean holdsControllerLease(EntryOverview overview) {
    return overview.leaseFencingNumber().isDefined();
  }

  /** Reads the state of the entry and the lease holder; leaves out what cannot be read. */
  CompletableFuture<ReportPages.EntrySnapshot> read(
      Option<ReportedEntry> reportedEntry, Option<AcceptedConfiguration> configuration) {
    CompletableFuture<Option<EntryState>> state = new CompletableFuture<>();
    reportedEntry.forEach(entry -> entry.readState(found -> state.complete(Option.some(found))));
    if (reportedEntry.isEmpty()) {
      state.complete(Option.none());
    }
    // A closed event loop never answers; the report then states that the state is unknown.
    return state
        .completeOnTimeout(Option.none(), STATE_READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .thenApplyAsync(
            found -> found.map(s -> EntryOverview.of(s, dependencies.clockNanos().getAsLong())),
            executor)
        .thenComposeAsync(
            overview ->
                readControllerLeaseHolder(overview)
                    .thenApply(
                        controller ->
                            new ReportPages.EntrySnapshot(
                                dependencies.clockEpochMillis().getAsLong(),
                                configuration,
                                overview,
                                controller)),
            executor);
  }

  private CompletableFuture<Option<String>> readControllerLeaseHolder(
      Option<EntryOverview> overview) {
    if (overview.exists(EntrySnapshotReader::holdsControllerLease)) {
      return CompletableFuture.completedFuture(Option.some(dependencies.vm()));
    }
    return dependencies
        .table()
        .read(LeaseRowCodec.ROW_KEY)
        .exceptionally(failure -> Either.left(new PlatformError.Unavailable(failure.toString())))
        .thenApply(
            result ->
                result
                    .getOrElse(Option.none())
                    .map(TableRow::value)
                    .flatMap(row -> LeaseRowCodec.decode(row.bytes()).toOption())
                    .map(LeaseRow::holder)
                    .map(vm -> vm.value()));
  }
}
