package io.zinniawood.store;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;

/**
 * Client of the platform's transactional table. The futures never complete exceptionally; failures
 * are returned as {@link PlatformError}.
 */
public interface Table {
  /** Reads a row; returns none if it does not exist. */
  CompletableFuture<Either<PlatformError, Option<TableRow>>> read(String key);

  /**
   * Writes a row only if its current version equals the expected one. A version of an earlier era
   * is refused without sending anything. The result is not known if the write took effect in a
   * later era.
   *
   * @param expectedVersion required current version; {@link #absentVersion} or 0 means that the row
   *     must not exist
   */
  CompletableFuture<Either<PlatformError, TableWriteResult>> write(
      String key, long expectedVersion, byte[] value);

  /**
   * Returns the version of a row that does not exist, in the newest era that any answer stated; see
   * {@link io.zinniawood.core.model.PackedStoreVersion}.
   */
  default long absentVersion() {
    return 0;
  }

  /**
   * Adds a listener for newer eras of the store. It is called before any answer of that era is
   * passed on, and at once with the present era unless that is 0; must not block.
   */
  default void onNewerEra(LongConsumer listener) {}
}
