package io.zinniawood.http;

import okhttp3.Headers;

/** Result of one HTTP call. */
public sealed interface HttpResult {
  /**
   * A complete response arrived.
   *
   * @param status HTTP status
   * @param headers header fields
   * @param body complete body, empty if there is none
   */
  record Response(int status, Headers headers, byte[] body) implements HttpResult {}

  /**
   * The request was not sent, not even in part.
   *
   * @param detail human-readable explanation
   */
  record NotSent(String detail) implements HttpResult {}

  /**
   * The request was sent at least in part, and no complete response arrived.
   *
   * @param detail human-readable explanation
   */
  record ResponseLost(String detail) implements HttpResult {}
}
