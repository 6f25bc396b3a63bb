package io.zinniawood.engine.http;

import io.vavr.control.Either;
import io.zinniawood.engine.EngineError;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** Converts HTTP results into values and engine errors. */
final class Responses {
  /** Longest part of a response body in an error message, in characters. */
  private static final int MAX_DETAIL_CHARACTERS = 200;

  private Responses() {}

  /** Decodes a response; a malformed response throws {@link MalformedResponseException}. */
  interface Decoder<T> {
    Either<EngineError, T> decode(HttpResult.Response response) throws MalformedResponseException;
  }

  static <T> CompletableFuture<Either<EngineError, T>> decode(
      CompletableFuture<HttpResult> result, Decoder<T> decoder) {
    return result.thenApply(value -> decode(value, decoder));
  }

  static <T> Either<EngineError, T> decode(HttpResult result, Decoder<T> decoder) {
    if (result instanceof HttpResult.NotSent notSent) {
      return Either.left(new EngineError.NotSent(notSent.detail()));
    }
    if (result instanceof HttpResult.Lost lost) {
      return Either.left(new EngineError.ResponseLost(lost.detail()));
    }
    try {
      return decoder.decode((HttpResult.Response) result);
    } catch (MalformedResponseException e) {
      return Either.left(new EngineError.ResponseLost(e.getMessage()));
    }
  }

  /**
   * Converts a status that is no answer. Engines answer 3xx, 4xx and 503 before they run anything;
   * after other 5xx statuses the call may have run.
   */
  static <T> Either<EngineError, T> failure(HttpResult.Response response) {
    String detail = "HTTP status " + response.status() + ": " + text(response.body());
    boolean refused =
        response.status() == 503
            || (response.status() >= 300 && response.status() < 500 && response.status() != 408);
    return Either.left(
        refused
            ? new EngineError.Refused(response.status(), detail)
            : new EngineError.ResponseLost(detail));
  }

  private static String text(byte[] body) {
    String text = new String(body, StandardCharsets.UTF_8);
    return text.length() <= MAX_DETAIL_CHARACTERS
        ? text
        : text.substring(0, MAX_DETAIL_CHARACTERS) + "...";
  }
}
