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
 * Merges the counts of the entries of a data centre into one stored object. Each write starts from
 * the stored content, and a delta is removed from memory only after a later read contained it.
 * Therefore no counts are lost or added twice when a response is lost, when another entry takes
 * over the merging, or when two entries merge at the same time. Confined to the thread of the
 * executor.
 */
final class CountsMerger {
  /**
   * Bounds memory at about 2 KB per delta. 52 entries reach it in 13 min without a successful
   * write; further deltas stay with the entries that sent them.
   */
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
   * Keeps a delta for the next flush if it is the next one of its source, or the oldest one that
   * the source still has after a gap, and the bound allows it. Other deltas are ignored.
   *
   * @return receipt for the source, none before the first read of the object
   */
  Option<CountsReceipt> offer(CountsDelta delta) {
    if (lastRead.isEmpty()) {
      return Option.none();
    }
    Vector<CountsDelta> pending = unconfirmed.getOrElse(delta.source(), Vector.empty());
    long lastReceived = lastReceivedSequence(delta.source());
    boolean isNext =
        delta.sequence() == lastReceived + 1
            || (delta.sequence() > lastReceived && delta.sequence() == delta.oldestKeptSequence());
    if (isNext && unconfirmedCount < MAX_UNCONFIRMED_DELTAS) {
      unconfirmed = unconfirmed.put(delta.source(), pending.append(delta));
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

  /** Returns the number of deltas that no read of the object has contained yet. */
  int unconfirmed() {
    return unconfirmedCount;
  }

  /** Adds the unconfirmed deltas to the object; does nothing while another flush is in progress. */
  void flush(long nowEpochMillis) {
    if (flushInProgress) {
      return;
    }
    flushInProgress = true;
    var unused =
        readCurrent()
            .exceptionally(
                failure -> Either.left(new PlatformError.Unavailable(failure.toString())))
            .thenComposeAsync(result -> merge(result, nowEpochMillis), executor)
            .exceptionally(
                failure -> Either.left(new PlatformError.Unavailable(failure.toString())))
            .thenAcceptAsync(this::onFlushEnded, executor);
  }

  /**
   * Returns the content of the object. If the listed version is the one that this entry wrote last,
   * returns the content of that write without a read, which halves the traffic with the store.
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
    StoredCounts current = result.get();
    removeConfirmed(current);
    StoredCounts merged =
        unconfirmed
            .values()
            .flatMap(found -> found)
            .foldLeft(current, (sum, delta) -> sum.plus(delta, nowEpochMillis))
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
          "object {0} cannot be decoded and will be replaced: {1}",
          object.name(),
          decoded.getLeft().detail());
    }
    return decoded;
  }

  private void removeConfirmed(StoredCounts current) {
    lastRead = Option.some(current);
    unconfirmed =
        unconfirmed
            .map(
                (source, found) ->
                    io.vavr.Tuple.of(
                        source,
                        found.filter(delta -> delta.sequence() > current.lastSequence(source))))
            .filterValues(found -> !found.isEmpty());
    unconfirmedCount = unconfirmed.values().map(Vector::size).sum().intValue();
  }

  private void onFlushEnded(Either<PlatformError, String> result) {
    flushInProgress = false;
    if (result.isLeft()) {
      LOGGER.log(
          Level.WARNING, "cannot store service-level counts: {0}", result.getLeft().detail());
    }
  }
}
