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

/** Reads what a report says of the present state of the entry. */
final class EntrySnapshotReader {
  private static final long STATE_READ_TIMEOUT_MILLIS = 1_000;

  private final EntryReports.Dependencies dependencies;
  private final Executor executor;

  EntrySnapshotReader(EntryReports.Dependencies parts, Executor executor) {
    this.dependencies = parts;
    this.executor = executor;
  }

  /** Tells whether the entry holds the controller lease. */
  static boolean holdsControllerLease(EntryOverview overview) {
    return overview.leaseFencingNumber().isDefined();
  }

  /** Reads the state of the entry and the holder of the lease; completes without what it lacks. */
  CompletableFuture<ReportPages.EntrySnapshot> read(
      Option<ReportedEntry> link, Option<AcceptedConfiguration> configuration) {
    CompletableFuture<Option<EntryState>> state = new CompletableFuture<>();
    link.forEach(entry -> entry.readState(found -> state.complete(Option.some(found))));
    if (link.isEmpty()) {
      state.complete(Option.none());
    }
    // Without an answer, for example of a closed event loop, the report says what it lacks.
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
        .read(LeaseRowCodec.KEY)
        .exceptionally(fault -> Either.left(new PlatformError.Unavailable(fault.toString())))
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
