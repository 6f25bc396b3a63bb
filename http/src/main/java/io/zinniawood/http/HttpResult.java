package io.zinniawood.http;

import okhttp3.Headers;

/** Result of one HTTP call. */
public sealed interface HttpResult {
  /**
   * A whole response arrived.
   *
   * @param status HTTP status
   * @param headers header fields
   * @param body body
   */
  record Response(int status, Headers headers, byte[] body) implements HttpResult {}

  /**
   * No byte of the request was sent.
   *
   * @param detail explanation for a person
   */
  record NotSent(String detail) implements HttpResult {}

  /**
   * The request was sent at least in part, and no whole response arrived.
   *
   * @param detail explanation for a person
   */
  record ResponseLost(String detail) implements HttpResult {}
}
