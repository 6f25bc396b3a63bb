package io.zinniawood.agent.internal;

import io.vavr.control.Either;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/** Turns exceptions of clients into failure values, so that each effect ends in an event. */
final class GuardedCalls {
  private static final Logger LOGGER = System.getLogger(GuardedCalls.class.getName());

  private GuardedCalls() {}

  static <L, R> CompletableFuture<Either<L, R>> guarded(
      Supplier<CompletableFuture<Either<L, R>>> call, Function<Throwable, L> failure) {
    try {
      return call.get().exceptionally(fault -> Either.left(failure.apply(fault)));
    } catch (RuntimeException fault) {
      return CompletableFuture.completedFuture(Either.left(failure.apply(fault)));
    }
  }

  /** Hands a result on once it is there; a fault of the consumer is logged. */
  static <T> void deliver(CompletableFuture<T> result, Consumer<? super T> consumer) {
    CompletableFuture<Void> unused =
        result
            .thenAccept(consumer)
            .exceptionally(
                fault -> {
                  LOGGER.log(Level.ERROR, "result of a call was not handled", fault);
                  return null;
                });
  }
}
