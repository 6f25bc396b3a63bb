package io.zinniawood.agent.internal;

import io.vavr.control.Either;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/** Converts exceptions of clients into error values, so that each effect results in an event. */
final class GuardedCalls {
  private static final Logger LOGGER = System.getLogger(GuardedCalls.class.getName());

  private GuardedCalls() {}

  static <L, R> CompletableFuture<Either<L, R>> guarded(
      Supplier<CompletableFuture<Either<L, R>>> call, Function<Throwable, L> toError) {
    try {
      return call.get().exceptionally(exception -> Either.left(toError.apply(exception)));
    } catch (RuntimeException exception) {
      return CompletableFuture.completedFuture(Either.left(toError.apply(exception)));
    }
  }

  /** Passes a result to a consumer on completion; an exception of the consumer is logged. */
  static <T> void deliver(CompletableFuture<T> result, Consumer<? super T> consumer) {
    CompletableFuture<Void> unused =
        result
            .thenAccept(consumer)
            .exceptionally(
                exception -> {
                  LOGGER.log(
                      Level.ERROR, "failed to process the result of a client call", exception);
                  return null;
                });
  }
}
