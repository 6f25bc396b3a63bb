package io.zinniawood.engine.http;

import io.vavr.control.Either;
import io.zinniawood.engine.EngineError;
import io.zinniawood.http.HttpResult;
import io.zinniawood.http.Responses;
import java.util.concurrent.CompletableFuture;

/** Converts HTTP results to values or {@link EngineError}s. */
final class EngineResponses {
  private EngineResponses() {}

  static <T> CompletableFuture<Either<EngineError, T>> decode(
      CompletableFuture<HttpResult> result, Responses.Decoder<EngineError, T> decoder) {
    return result.thenApply(value -> decode(value, decoder));
  }

  static <T> Either<EngineError, T> decode(
      HttpResult result, Responses.Decoder<EngineError, T> decoder) {
    return Responses.decode(
        result, EngineError.NotSent::new, EngineError.ResponseLost::new, decoder);
  }

  /**
   * Returns the error for a status other than 200. Engines respond with 3xx, 4xx (except 408) and
   * 503 before they run anything; after any other status the call may have run.
   */
  static <T> Either<EngineError, T> errorForStatus(HttpResult.Response response) {
    String detail = Responses.detail(response);
    boolean refused =
        response.status() == 503
            || (response.status() >= 300 && response.status() < 500 && response.status() != 408);
    return Either.left(
        refused
            ? new EngineError.Refused(response.status(), detail)
            : new EngineError.ResponseLost(detail));
  }
}
