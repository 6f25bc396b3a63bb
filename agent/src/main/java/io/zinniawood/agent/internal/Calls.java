package io.zinniawood.agent.internal;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

/** Turns exceptions of clients into failure values, so that each effect ends in an event. */
final class Calls {
  private Calls() {}

  static <L, R> CompletableFuture<Either<L, R>> guarded(
      Supplier<CompletableFuture<Either<L, R>>> call, Function<Throwable, L> failure) {
    try {
      return call.get().exceptionally(fault -> Either.left(failure.apply(fault)));
    } catch (RuntimeException fault) {
      return CompletableFuture.completedFuture(Either.left(failure.apply(fault)));
    }
  }
}
