package io.zinniawood.entry.internal;

import io.vavr.control.Either;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Passes results of asynchronous calls to handlers. A future that completes exceptionally, against
 * its contract, yields an error value.
 */
public final class Completions {
  private static final Logger LOGGER = System.getLogger(Completions.class.getName());

  private Completions() {}

  /**
   * Calls a handler when the result of a call arrives; a call that throws has failed.
   *
   * @param call starts the call
   */
  public static <E, T> void handle(
      Supplier<CompletableFuture<Either<E, T>>> call,
      Function<Throwable, E> onFailure,
      Consumer<Either<E, T>> handler) {
    CompletableFuture<Either<E, T>> future;
    try {
      future = call.get();
    } catch (RuntimeException | Error failure) {
      future = CompletableFuture.failedFuture(failure);
    }
    handle(future, onFailure, handler);
  }

  /**
   * Calls a handler when the result arrives.
   *
   * @param future result; failures are expected as values, not as exceptions
   * @param onFailure converts an exception of the future to an error value
   * @param handler receives the result; exceptions that it throws are logged
   */
  public static <E, T> void handle(
      CompletableFuture<Either<E, T>> future,
      Function<Throwable, E> onFailure,
      Consumer<Either<E, T>> handler) {
    CompletableFuture<?> unused =
        future
            .exceptionally(failure -> Either.left(onFailure.apply(failure)))
            .thenAccept(handler)
            .exceptionally(
                exception -> {
                  LOGGER.log(
                      Level.ERROR,
                      "handler of an asynchronous result threw an exception",
                      exception);
                  return null;
                });
  }
}
