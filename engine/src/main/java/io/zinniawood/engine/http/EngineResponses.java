package io.zinniawood.engine.http;

import io.vavr.control.Either;
import io.zinniawood.engine.EngineError;
import io.zinniawood.http.HttpResult;
import io.zinniawood.http.Responses;
import java.util.concurrent.CompletableFuture;

/** Converts HTTP results into values and engine errors. */
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
   * Converts a status that is no answer. Engines answer 3xx, 4xx and 503 before they run anything;
   * after other 5xx statuses the call may have run.
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
