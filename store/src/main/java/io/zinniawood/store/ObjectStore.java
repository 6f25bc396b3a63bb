package io.zinniawood.store;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's object store. The futures never complete exceptionally; failures are
 * returned as {@link PlatformError}.
 */
public interface ObjectStore {
  /** Lists the objects whose names start with the prefix, sorted by name. */
  CompletableFuture<Either<PlatformError, ObjectListing>> list(String prefix);

  /** Reads an object; returns none if it does not exist. */
  CompletableFuture<Either<PlatformError, Option<StoredObject>>> read(String name);

  /** Creates or replaces an object and returns its new version. */
  CompletableFuture<Either<PlatformError, String>> write(String name, byte[] content);

  /** Deletes an object; returns false if it does not exist. */
  CompletableFuture<Either<PlatformError, Boolean>> delete(String name);
}
