package io.zinniawood.store;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;

/** The platform's object store. Futures complete normally; failures are values. */
public interface ObjectStore {
  /** Lists the objects whose names start with the prefix, in the order of their names. */
  CompletableFuture<Either<PlatformError, ObjectListing>> list(String prefix);

  /** Reads an object; none if it does not exist. */
  CompletableFuture<Either<PlatformError, Option<StoredObject>>> read(String name);

  /** Writes an object, replacing an older one, and returns its version. */
  CompletableFuture<Either<PlatformError, String>> write(String name, byte[] content);

  /** Deletes an object; does nothing if it does not exist. */
  CompletableFuture<Either<PlatformError, Boolean>> delete(String name);
}
