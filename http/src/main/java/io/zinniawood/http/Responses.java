package io.zinniawood.http;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/** Converts HTTP results to values or to the error type of the caller. */
public final class Responses {
  /** Maximum number of characters of a response body that an error message includes. */
  private static final int MAX_DETAIL_CHARACTERS = 200;

  private Responses() {}

  /**
   * Decoder of complete responses.
   *
   * @param <E> type of errors
   * @param <T> type of values
   */
  @FunctionalInterface
  public interface Decoder<E, T> {
    /**
     * Decodes a response.
     *
     * @throws MalformedResponseException if the response does not conform to the HTTP interface
     */
    Either<E, T> decode(HttpResult.Response response) throws MalformedResponseException;
  }

  /**
   * Decodes a result. A malformed response is treated as a lost one, as the request was sent and
   * may have taken effect.
   *
   * @param result result of a call
   * @param notSent creates the error for a request that was not sent from an explanation
   * @param responseLost creates the error for a missing or malformed response from an explanation
   * @param decoder decodes a complete response
   */
  public static <E, T> Either<E, T> decode(
      HttpResult result,
      Function<String, E> notSent,
      Function<String, E> responseLost,
      Decoder<E, T> decoder) {
    if (result instanceof HttpResult.NotSent failure) {
      return Either.left(notSent.apply(failure.detail()));
    }
    if (result instanceof HttpResult.ResponseLost failure) {
      return Either.left(responseLost.apply(failure.detail()));
    }
    try {
      return decoder.decode((HttpResult.Response) result);
    } catch (MalformedResponseException e) {
      return Either.left(responseLost.apply(e.getMessage()));
    }
  }

  /** Returns the status and the beginning of the body for an error message. */
  public static String detail(HttpResult.Response response) {
    String text = new String(response.body(), StandardCharsets.UTF_8);
    String shown =
        text.length() <= MAX_DETAIL_CHARACTERS
            ? text
            : text.substring(0, MAX_DETAIL_CHARACTERS) + "...";
    return "HTTP status " + response.status() + ": " + shown;
  }
}
