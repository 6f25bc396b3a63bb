package io.zinniawood.store.http;

import io.vavr.control.Either;
import io.zinniawood.http.HttpResult;
import io.zinniawood.http.Responses;
import io.zinniawood.store.PlatformError;
import java.util.concurrent.CompletableFuture;

/** Converts HTTP results into values and platform errors. */
final class PlatformResponses {
  private PlatformResponses() {}

  static <T> CompletableFuture<Either<PlatformError, T>> decode(
      CompletableFuture<HttpResult> result, Responses.Decoder<PlatformError, T> decoder) {
    return result.thenApply(value -> decode(value, decoder));
  }

  static <T> Either<PlatformError, T> decode(
      HttpResult result, Responses.Decoder<PlatformError, T> decoder) {
    return Responses.decode(
        result, PlatformError.Unavailable::new, PlatformError.ResponseLost::new, decoder);
  }

  /**
   * Converts an error status. The platform responds with 429 or 503 before it changes any state;
   * after other 5xx statuses it is unknown whether a write took effect.
   */
  static <T> Either<PlatformError, T> failure(HttpResult.Response response) {
    String detail = Responses.detail(response);
    if (response.status() == 429 || response.status() == 503) {
      return Either.left(new PlatformError.Unavailable(detail));
    }
    if (response.status() >= 500 || response.status() == 408) {
      return Either.left(new PlatformError.ResponseLost(detail));
    }
    if (response.status() >= 300) {
      return Either.left(new PlatformError.Rejected(detail));
    }
    return Either.left(new PlatformError.ResponseLost("unexpected response: " + detail));
  }
}
