package io.zinniawood.entry.acceptance;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.model.Payload;
import io.zinniawood.store.ObjectListing;
import io.zinniawood.store.ObjectStore;
import io.zinniawood.store.ObjectVersion;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.StoredObject;
import io.zinniawood.store.Table;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.TableWriteResult;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Object store and table in memory that respond on other threads. */
final class InMemoryPlatform implements ObjectStore {
  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private final TreeMap<String, TableRow> rows = new TreeMap<>();
  private long versions;
  private int responsesToLose;

  /** Drops the responses to the next writes to the table; the writes themselves take effect. */
  synchronized void loseWriteResponses(int count) {
    responsesToLose = count;
  }

  synchronized void put(String name, String text) {
    versions++;
    objects.put(name, new StoredObject(name, Long.toString(versions), Payload.ofText(text)));
  }

  @Override
  public CompletableFuture<Either<PlatformError, ObjectListing>> list(String prefix) {
    return respond(
        () ->
            new ObjectListing(
                Vector.ofAll(objects.values())
                    .filter(object -> object.name().startsWith(prefix))
                    .map(object -> new ObjectVersion(object.name(), object.version())),
                ObjectListing.Completeness.COMPLETE));
  }

  @Override
  public CompletableFuture<Either<PlatformError, Option<StoredObject>>> read(String name) {
    return respond(() -> Option.of(objects.get(name)));
  }

  @Override
  public CompletableFuture<Either<PlatformError, String>> write(String name, byte[] content) {
    return respond(
        () -> {
          put(name, Payload.wrap(content).text());
          return objects.get(name).version();
        });
  }

  @Override
  public CompletableFuture<Either<PlatformError, Boolean>> delete(String name) {
    return respond(() -> objects.remove(name) != null);
  }

  /** Returns the table; a separate object, as its methods clash with those of the object store. */
  Table table() {
    return new Table() {
      @Override
      public CompletableFuture<Either<PlatformError, Option<TableRow>>> read(String key) {
        return respond(() -> Option.of(rows.get(key)));
      }

      @Override
      public CompletableFuture<Either<PlatformError, TableWriteResult>> write(
          String key, long expectedVersion, byte[] value) {
        return respond(() -> compareAndSet(key, expectedVersion, value))
            .thenApply(result -> takeLostResponse() ? responseLost() : result);
      }
    };
  }

  private TableWriteResult compareAndSet(String key, long expectedVersion, byte[] value) {
    Option<TableRow> present = Option.of(rows.get(key));
    if (present.map(TableRow::version).getOrElse(0L) != expectedVersion) {
      return new TableWriteResult.Conflict(present);
    }
    rows.put(key, new TableRow(key, expectedVersion + 1, Payload.wrap(value)));
    return new TableWriteResult.Written(expectedVersion + 1);
  }

  private synchronized boolean takeLostResponse() {
    if (responsesToLose == 0) {
      return false;
    }
    responsesToLose--;
    return true;
  }

  private static <T> Either<PlatformError, T> responseLost() {
    return Either.left(new PlatformError.ResponseLost("the connection closed"));
  }

  private <T> CompletableFuture<Either<PlatformError, T>> respond(Supplier<T> result) {
    return CompletableFuture.supplyAsync(
        () -> {
          synchronized (this) {
            return Either.right(result.get());
          }
        });
  }
}
