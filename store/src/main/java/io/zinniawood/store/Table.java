package io.zinniawood.store;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's transactional table. The futures never complete exceptionally; failures
 * are returned as {@link PlatformError}.
 */
public interface Table {
  /** Reads a row; returns none if it does not exist. */
  CompletableFuture<Either<PlatformError, Option<TableRow>>> read(String key);

  /**
   * Writes a row only if its current version equals the expected one.
   *
   * @param expectedVersion required current version; 0 means that the row must not exist
   */
  CompletableFuture<Either<PlatformError, TableWriteResult>> write(
      String key, long expectedVersion, byte[] value);
}
