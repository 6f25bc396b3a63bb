package io.zinniawood.entry.reporting;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.report.slo.CountsError;
import io.zinniawood.store.ObjectStore;
import io.zinniawood.store.ObjectVersion;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.StoredObject;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Merges the counts of the entries of a data centre into one object. Each write starts from a read
 * of the object, and a delta is forgotten only after a later read has shown it. A lost response, a
 * change of the merging entry, or two entries that merge for a while therefore lose no counts and
 * add none twice. Confined to the thread of the executor.
 */
final class CountsMerger {
  /** About 2 KB each; 52 entries fill it in 13 min, and then keep their deltas themselves. */
  static final int MAX_UNCONFIRMED_DELTAS = 4_096;

  private static final Logger LOGGER = System.getLogger(CountsMerger.class.getName());

  private final String dataCentre;
  private final String objectName;
  private final ObjectStore objects;
  private final Executor executor;
  private Option<StoredCounts> lastRead = Option.none();
  private Map<String, Vector<CountsDelta>> unconfirmed = HashMap.empty();
  private int unconfirmedCount;
  private boolean flushInProgress;
  private Option<WrittenObject> lastWrite = Option.none();

  private record WrittenObject(String version, StoredCounts content) {}

  CountsMerger(String dataCentre, ObjectStore objects, Executor executor) {
    this.dataCentre = dataCentre;
    this.objectName = StoredCounts.objectName(dataCentre);
    this.objects = objects;
    this.executor = executor;
  }

  /**
   * Takes a delta.
   *
   * @return receipt for the source, none before the object was read for the first time
   */
  Option<CountsReceipt> offer(CountsDelta delta) {
    if (lastRead.isEmpty()) {
      return Option.none();
    }
    Vector<CountsDelta> known = unconfirmed.getOrElse(delta.source(), Vector.empty());
    long before = lastReceivedSequence(delta.source());
    boolean next =
        delta.sequence() == before + 1
            || (delta.sequence() > before && delta.sequence() == delta.oldestKeptSequence());
    if (next && unconfirmedCount < MAX_UNCONFIRMED_DELTAS) {
      unconfirmed = unconfirmed.put(delta.source(), known.append(delta));
      unconfirmedCount++;
    }
    return Option.some(
        new CountsReceipt(
            delta.source(),
            lastReceivedSequence(delta.source()),
            lastRead.get().lastSequence(delta.source())));
  }

  private long lastReceivedSequence(String source) {
    return unconfirmed
        .get(source)
        .map(found -> found.last().sequence())
        .getOrElse(() -> lastRead.get().lastSequence(source));
  }

  /** Returns the number of deltas that the object store is not known to have. */
  int unconfirmed() {
    return unconfirmedCount;
  }

  /** Reads the object, adds what it lacks and writes it; does nothing while one is in progress. */
  void flush(long nowEpochMillis) {
    if (flushInProgress) {
      return;
    }
    flushInProgress = true;
    var unused =
        readCurrent()
            .exceptionally(fault -> Either.left(new PlatformError.Unavailable(fault.toString())))
            .thenComposeAsync(result -> merge(result, nowEpochMillis), executor)
            .exceptionally(fault -> Either.left(new PlatformError.Unavailable(fault.toString())))
            .thenAcceptAsync(this::onFlushEnded, executor);
  }

  /**
   * Returns the content of the object. If its listed version is the one that this entry wrote last,
   * the content is known, which saves half of the traffic with the store.
   */
  private CompletableFuture<Either<PlatformError, StoredCounts>> readCurrent() {
    if (lastWrite.isEmpty()) {
      return read();
    }
    WrittenObject last = lastWrite.get();
    return objects
        .list(objectName)
        .thenComposeAsync(
            listing ->
                listing.exists(
                        found ->
                            found.objects().contains(new ObjectVersion(objectName, last.version())))
                    ? CompletableFuture.completedFuture(Either.right(last.content()))
                    : read(),
            executor);
  }

  private CompletableFuture<Either<PlatformError, StoredCounts>> read() {
    return objects
        .read(objectName)
        .thenApply(
            result ->
                result.map(
                    found ->
                        found
                            .flatMap(object -> decode(object).toOption())
                            .getOrElse(StoredCounts.empty(dataCentre))));
  }

  private CompletableFuture<Either<PlatformError, String>> merge(
      Either<PlatformError, StoredCounts> result, long nowEpochMillis) {
    if (result.isLeft()) {
      return CompletableFuture.completedFuture(Either.left(result.getLeft()));
    }
    StoredCounts present = result.get();
    removeConfirmed(present);
    StoredCounts merged =
        unconfirmed
            .values()
            .flatMap(found -> found)
            .foldLeft(present, (sum, delta) -> sum.plus(delta, nowEpochMillis))
            .prepareForWrite(nowEpochMillis);
    lastWrite = Option.none();
    Either<CountsError, byte[]> encoded = merged.encode();
    return encoded.isRight()
        ? objects
            .write(objectName, encoded.get())
            .thenApplyAsync(
                written ->
                    written.peek(
                        version -> lastWrite = Option.some(new WrittenObject(version, merged))),
                executor)
        : CompletableFuture.completedFuture(
            Either.left(new PlatformError.Rejected(encoded.getLeft().detail())));
  }

  private static Either<CountsError, StoredCounts> decode(StoredObject object) {
    Either<CountsError, StoredCounts> decoded = StoredCounts.decode(object.content().bytes());
    if (decoded.isLeft()) {
      LOGGER.log(
          Level.WARNING,
          "{0} is damaged and is written anew: {1}",
          object.name(),
          decoded.getLeft().detail());
    }
    return decoded;
  }

  private void removeConfirmed(StoredCounts present) {
    lastRead = Option.some(present);
    unconfirmed =
        unconfirmed
            .map(
                (source, found) ->
                    io.vavr.Tuple.of(
                        source,
                        found.filter(delta -> delta.sequence() > present.lastSequence(source))))
            .filterValues(found -> !found.isEmpty());
    unconfirmedCount = unconfirmed.values().map(Vector::size).sum().intValue();
  }

  private void onFlushEnded(Either<PlatformError, String> result) {
    flushInProgress = false;
    if (result.isLeft()) {
      LOGGER.log(Level.WARNING, "service-level counts not stored: {0}", result.getLeft().detail());
    }
  }
}
