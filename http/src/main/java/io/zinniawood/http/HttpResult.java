package io.zinniawood.http;

import okhttp3.Headers;

/** Result of one HTTP call. */
public sealed interface HttpResult {
  /**
   * A response arrived to its end. One that ended with its connection may lack bytes, so its body
   * must show by itself that it is complete, or {@link ConfirmedCalls} must be used.
   *
   * @param status HTTP status
   * @param headers header fields
   * @param body complete body, empty if there is none
   * @param end how the end of the body was found
   */
  record Response(int status, Headers headers, byte[] body, ResponseEnd end) implements HttpResult {
    /** Creates a response that stated its end. */
    public Response(int status, Headers headers, byte[] body) {
      this(status, headers, body, ResponseEnd.STATED);
    }
  }

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
