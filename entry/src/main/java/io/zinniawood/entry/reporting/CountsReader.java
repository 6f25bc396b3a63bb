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
 * Reads and adds the counts of all data centres; keeps the last ones that it read while the object
 * store does not answer. Confined to the thread of the executor.
 */
final class CountsReader {
  private static final String PREFIX = StoredCounts.objectName("").replace(".json", "");

  /** Twice the data centres of the design size. */
  private static final int MAX_DATA_CENTRES = 64;

  private final ObjectStore objects;
  private final Executor executor;
  private SortedMap<String, Known> known = TreeMap.empty();
  private Option<String> trouble = Option.none();
  private Option<CompletableFuture<Boolean>> reading = Option.none();

  private record Known(String version, CountsSnapshot counts) {}

  CountsReader(ObjectStore objects, Executor executor) {
    this.objects = objects;
    this.executor = executor;
  }

  /** Returns the sum by name of the objective, as of the last reading. */
  SortedMap<String, ObjectiveCounts> total() {
    return known
        .values()
        .foldLeft(
            TreeMap.<String, ObjectiveCounts>empty(),
            (sum, found) ->
                TreeMap.ofEntries(sum.merge(found.counts().objectives(), ObjectiveCounts::plus)));
  }

  /** Returns the age of the figures of the expected data centres and of all that have some. */
  Vector<DataCentreFreshness> dataCentres(SortedSet<String> expected) {
    return expected
        .addAll(known.keySet())
        .toVector()
        .map(
            name ->
                new DataCentreFreshness(
                    name, known.get(name).map(found -> found.counts().writtenEpochMillis())));
  }

  /** Returns why the last reading failed, none if it did not. */
  Option<String> trouble() {
    return trouble;
  }

  /** Reads the objects that changed; completes on the executor, joins a reading in progress. */
  CompletableFuture<Boolean> read() {
    if (reading.isDefined()) {
      return reading.get();
    }
    CompletableFuture<Boolean> started = new CompletableFuture<>();
    reading = Option.some(started);
    var unused =
        objects
            .list(PREFIX)
            .exceptionally(fault -> Either.left(new PlatformError.Unavailable(fault.toString())))
            .thenComposeAsync(
                listing ->
                    listing.isLeft() ? failed(listing.getLeft()) : readAll(listing.get().objects()),
                executor)
            .whenCompleteAsync(
                (done, fault) -> {
                  reading = Option.none();
                  started.complete(fault == null);
                },
                executor);
    return started;
  }

  private CompletableFuture<Boolean> failed(PlatformError error) {
    trouble = Option.some(error.detail());
    return CompletableFuture.completedFuture(false);
  }

  private CompletableFuture<Boolean> readAll(Vector<ObjectVersion> listed) {
    trouble = Option.none();
    Vector<ObjectVersion> changed =
        listed
            .filter(found -> found.name().endsWith(".json"))
            .take(MAX_DATA_CENTRES)
            .filter(
                found -> !known.get(name(found)).exists(k -> k.version().equals(found.version())));
    Vector<CompletableFuture<Void>> reads =
        changed.map(
            found ->
                objects
                    .read(found.name())
                    .exceptionally(
                        fault -> Either.left(new PlatformError.Unavailable(fault.toString())))
                    .thenAcceptAsync(result -> take(found, result), executor));
    return CompletableFuture.allOf(reads.toJavaList().toArray(new CompletableFuture<?>[0]))
        .thenApply(done -> true);
  }

  private void take(ObjectVersion found, Either<PlatformError, Option<StoredObject>> result) {
    if (result.isLeft()) {
      trouble = Option.some(result.getLeft().detail());
      return;
    }
    for (StoredObject object : result.get()) {
      StoredCounts.decode(object.content().bytes())
          .peek(
              stored ->
                  known = known.put(name(found), new Known(object.version(), stored.counts())))
          .peekLeft(
              error ->
                  trouble =
                      Option.some("%s is damaged: %s".formatted(found.name(), error.detail())));
    }
  }

  private static String name(ObjectVersion found) {
    return found.name().substring(PREFIX.length(), found.name().length() - ".json".length());
  }
}
