package io.zinniawood.entry.internal.store;

import io.vavr.control.Either;
import io.zinniawood.platform.PlatformError;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Turns a future that breaks its contract and fails into one that completes with an error. */
final class Futures {
  private Futures() {}

  static <T> CompletableFuture<Either<PlatformError, T>> complete(
      CompletableFuture<Either<PlatformError, T>> future,
      Function<Throwable, PlatformError> error) {
    return future.exceptionally(failure -> Either.left(error.apply(failure)));
  }
}
