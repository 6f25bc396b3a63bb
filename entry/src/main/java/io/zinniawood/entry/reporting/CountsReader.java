package io.zinniawood.entry.reporting;

import io.vavr.collection.SortedMap;
import io.vavr.collection.SortedSet;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.report.page.DataCentreFreshness;
import io.zinniawood.report.slo.CountsSnapshot;
import io.zinniawood.report.slo.ObjectiveCounts;
import io.zinniawood.store.ObjectStore;
import io.zinniawood.store.ObjectVersion;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.StoredObject;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Reads the stored counts of all data centres and adds them up. While the object store does not
 * answer, keeps the counts of the last successful read. Confined to the thread of the executor.
 */
final class CountsReader {
  private static final String OBJECT_PREFIX = StoredCounts.objectName("").replace(".json", "");

  /** Twice the number of data centres in the design size. */
  private static final int MAX_DATA_CENTRES = 64;

  private final ObjectStore objects;
  private final Executor executor;
  private SortedMap<String, ReadCounts> lastRead = TreeMap.empty();
  private Option<String> lastError = Option.none();
  private Option<CompletableFuture<Boolean>> readInProgress = Option.none();

  private record ReadCounts(String version, CountsSnapshot counts) {}

  CountsReader(ObjectStore objects, Executor executor) {
    this.objects = objects;
    this.executor = executor;
  }

  /** Returns the sum over all data centres by objective name, as of the last read. */
  SortedMap<String, ObjectiveCounts> total() {
    return lastRead
        .values()
        .foldLeft(
            TreeMap.<String, ObjectiveCounts>empty(),
            (sum, found) ->
                TreeMap.ofEntries(sum.merge(found.counts().objectives(), ObjectiveCounts::plus)));
  }

  /** Returns when the counts of each expected and each known data centre were last written. */
  Vector<DataCentreFreshness> dataCentres(SortedSet<String> expected) {
    return expected
        .addAll(lastRead.keySet())
        .toVector()
        .map(
            name ->
                new DataCentreFreshness(
                    name, lastRead.get(name).map(found -> found.counts().writtenEpochMillis())));
  }

  /** Returns the error of the last read, none if it succeeded. */
  Option<String> lastError() {
    return lastError;
  }

  /** Reads the changed objects, or joins a read in progress; completes on the executor. */
  CompletableFuture<Boolean> read() {
    if (readInProgress.isDefined()) {
      return readInProgress.get();
    }
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    readInProgress = Option.some(result);
    var unused =
        objects
            .list(OBJECT_PREFIX)
            .exceptionally(
                failure -> Either.left(new PlatformError.Unavailable(failure.toString())))
            .thenComposeAsync(
                listing ->
                    listing.isLeft()
                        ? onListFailed(listing.getLeft())
                        : readChanged(listing.get().objects()),
                executor)
            .whenCompleteAsync(
                (done, failure) -> {
                  readInProgress = Option.none();
                  result.complete(failure == null);
                },
                executor);
    return result;
  }

  private CompletableFuture<Boolean> onListFailed(PlatformError error) {
    lastError = Option.some(error.detail());
    return CompletableFuture.completedFuture(false);
  }

  private CompletableFuture<Boolean> readChanged(Vector<ObjectVersion> listed) {
    lastError = Option.none();
    Vector<ObjectVersion> changed =
        listed
            .filter(found -> found.name().endsWith(".json"))
            .take(MAX_DATA_CENTRES)
            .filter(
                found ->
                    !lastRead
                        .get(dataCentreOf(found))
                        .exists(last -> last.version().equals(found.version())));
    Vector<CompletableFuture<Void>> reads =
        changed.map(
            found ->
                objects
                    .read(found.name())
                    .exceptionally(
                        failure -> Either.left(new PlatformError.Unavailable(failure.toString())))
                    .thenAcceptAsync(result -> onObjectRead(found, result), executor));
    return CompletableFuture.allOf(reads.toJavaList().toArray(new CompletableFuture<?>[0]))
        .thenApply(done -> true);
  }

  private void onObjectRead(
      ObjectVersion found, Either<PlatformError, Option<StoredObject>> result) {
    if (result.isLeft()) {
      lastError = Option.some(result.getLeft().detail());
      return;
    }
    for (StoredObject object : result.get()) {
      StoredCounts.decode(object.content().bytes())
          .peek(
              stored ->
                  lastRead =
                      lastRead.put(
                          dataCentreOf(found), new ReadCounts(object.version(), stored.counts())))
          .peekLeft(
              error ->
                  lastError =
                      Option.some("%s is damaged: %s".formatted(found.name(), error.detail())));
    }
  }

  private static String dataCentreOf(ObjectVersion found) {
    return found.name().substring(OBJECT_PREFIX.length(), found.name().length() - ".json".length());
  }
}
