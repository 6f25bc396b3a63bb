package io.zinniawood.http;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/** Converts HTTP results into values and the errors of a layer above. */
public final class Responses {
  /** Longest part of a response body in an error message, in characters. */
  private static final int MAX_DETAIL_CHARACTERS = 200;

  private Responses() {}

  /**
   * Decodes a response.
   *
   * @param <E> type of errors
   * @param <T> type of values
   */
  @FunctionalInterface
  public interface Decoder<E, T> {
    /**
     * Decodes a response.
     *
     * @throws MalformedResponseException if the response does not follow the HTTP interface
     */
    Either<E, T> decode(HttpResult.Response response) throws MalformedResponseException;
  }

  /**
   * Decodes a result. A malformed response is a lost one: the request was sent, so it may have
   * taken effect.
   *
   * @param result result of a call
   * @param notSent makes the error of a call that was not sent from its explanation
   * @param lost makes the error of a call whose response is missing from its explanation
   * @param decoder decodes a whole response
   */
  public static <E, T> Either<E, T> decode(
      HttpResult result,
      Function<String, E> notSent,
      Function<String, E> lost,
      Decoder<E, T> decoder) {
    if (result instanceof HttpResult.NotSent failure) {
      return Either.left(notSent.apply(failure.detail()));
    }
    if (result instanceof HttpResult.ResponseLost failure) {
      return Either.left(lost.apply(failure.detail()));
    }
    try {
      return decoder.decode((HttpResult.Response) result);
    } catch (MalformedResponseException e) {
      return Either.left(lost.apply(e.getMessage()));
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
