package io.zinniawood.entry.internal;

import io.vavr.control.Either;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

/** Handles the results of asynchronous calls, also of those that break their contract and fail. */
public final class Completions {
  private static final Logger LOGGER = System.getLogger(Completions.class.getName());

  private Completions() {}

  /**
   * Passes the result to a handler when it arrives.
   *
   * @param future result whose failures should be values
   * @param onFailure turns an exception of the future into an error
   * @param handler takes the result; an exception that it throws is logged
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
                fault -> {
                  LOGGER.log(Level.ERROR, "handling a result failed", fault);
                  return null;
                });
  }
}
