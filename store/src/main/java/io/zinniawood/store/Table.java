package io.zinniawood.store;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;

/** The platform's transactional table. Futures complete normally; failures are values. */
public interface Table {
  /** Reads a row; none if it does not exist. */
  CompletableFuture<Either<PlatformError, Option<TableRow>>> read(String key);

  /**
   * Writes a row if its version is as expected.
   *
   * @param key key of the row
   * @param expectedVersion version that the row must have, 0 if it must not exist
   * @param value new value
   */
  CompletableFuture<Either<PlatformError, TableWriteResult>> write(
      String key, long expectedVersion, byte[] value);
}
