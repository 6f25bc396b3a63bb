package io.zinniawood.entry.reporting;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.model.Payload;
import io.zinniawood.store.ObjectListing;
import io.zinniawood.store.ObjectStore;
import io.zinniawood.store.ObjectVersion;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.StoredObject;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** In-memory object store that answers immediately and can simulate outages and lost responses. */
final class InMemoryObjectStore implements ObjectStore {
  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private long lastVersion;
  private boolean unavailable;
  private int responsesToLose;
  private int writeCount;

  synchronized void setUnavailable(boolean value) {
    unavailable = value;
  }

  synchronized void loseNextWriteResponse() {
    responsesToLose = 1;
  }

  synchronized int writeCount() {
    return writeCount;
  }

  synchronized Option<String> text(String name) {
    return Option.of(objects.get(name)).map(object -> object.content().text());
  }

  @Override
  public CompletableFuture<Either<PlatformError, ObjectListing>> list(String prefix) {
    return answer(
        () ->
            new ObjectListing(
                Vector.ofAll(objects.values())
                    .filter(object -> object.name().startsWith(prefix))
                    .map(object -> new ObjectVersion(object.name(), object.version())),
                ObjectListing.Completeness.COMPLETE));
  }

  @Override
  public CompletableFuture<Either<PlatformError, Option<StoredObject>>> read(String name) {
    return answer(() -> Option.of(objects.get(name)));
  }

  @Override
  public synchronized CompletableFuture<Either<PlatformError, String>> write(
      String name, byte[] content) {
    CompletableFuture<Either<PlatformError, String>> answer =
        answer(
            () -> {
              writeCount++;
              lastVersion++;
              String version = Long.toString(lastVersion);
              objects.put(name, new StoredObject(name, version, Payload.wrap(content)));
              return version;
            });
    if (responsesToLose > 0) {
      responsesToLose--;
      return CompletableFuture.completedFuture(
          Either.left(new PlatformError.ResponseLost("the connection closed")));
    }
    return answer;
  }

  @Override
  public CompletableFuture<Either<PlatformError, Boolean>> delete(String name) {
    return answer(() -> objects.remove(name) != null);
  }

  private synchronized <T> CompletableFuture<Either<PlatformError, T>> answer(Supplier<T> result) {
    return CompletableFuture.completedFuture(
        unavailable
            ? Either.left(new PlatformError.Unavailable("outage"))
            : Either.right(result.get()));
  }
}
