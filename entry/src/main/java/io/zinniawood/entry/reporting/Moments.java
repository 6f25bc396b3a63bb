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
final class Moments {
  private static final long STATE_WAIT_MILLIS = 1_000;

  private final EntryReports.Parts parts;
  private final Executor executor;

  Moments(EntryReports.Parts parts, Executor executor) {
    this.parts = parts;
    this.executor = executor;
  }

  /** Tells whether the entry holds the controller lease. */
  static boolean holds(EntryOverview overview) {
    return overview.leaseFencingNumber().isDefined();
  }

  /** Reads the state of the entry and the holder of the lease; completes without what it lacks. */
  CompletableFuture<ReportPages.Moment> read(
      Option<EntryLink> link, Option<AcceptedConfiguration> configuration) {
    CompletableFuture<Option<EntryState>> state = new CompletableFuture<>();
    link.forEach(entry -> entry.readState(found -> state.complete(Option.some(found))));
    if (link.isEmpty()) {
      state.complete(Option.none());
    }
    // Without an answer, for example of a closed event loop, the report says what it lacks.
    return state
        .completeOnTimeout(Option.none(), STATE_WAIT_MILLIS, TimeUnit.MILLISECONDS)
        .thenApplyAsync(
            found -> found.map(s -> EntryOverview.of(s, parts.clockNanos().getAsLong())), executor)
        .thenComposeAsync(
            overview ->
                controller(overview)
                    .thenApply(
                        controller ->
                            new ReportPages.Moment(
                                parts.clockEpochMillis().getAsLong(),
                                configuration,
                                overview,
                                controller)),
            executor);
  }

  private CompletableFuture<Option<String>> controller(Option<EntryOverview> overview) {
    if (overview.exists(Moments::holds)) {
      return CompletableFuture.completedFuture(Option.some(parts.vm()));
    }
    return parts
        .table()
        .read(LeaseRowCodec.ROW_KEY)
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
