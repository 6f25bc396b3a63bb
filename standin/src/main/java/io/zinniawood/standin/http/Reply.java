package io.zinniawood.standin.http;

import java.util.ArrayList;
import java.util.List;

/**
 * A response that is computed before it is sent.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param headers further header fields
 * @param body body
 */
public record Reply(int status, String contentType, List<Header> headers, byte[] body) {
  /**
   * A header field.
   *
   * @param name field name
   * @param value field value
   */
  public record Header(String name, String value) {}

  /** Returns a response of bytes. */
  public static Reply bytes(int status, byte[] body) {
    return new Reply(status, "application/octet-stream", List.of(), body);
  }

  /** Returns a response with a JSON value. */
  public static Reply json(int status, Object value) {
    return new Reply(status, "application/json", List.of(), Json.bytes(value));
  }

  /** Returns the response with one more header field. */
  public Reply withHeader(String name, String value) {
    List<Header> more = new ArrayList<>(headers);
    more.add(new Header(name, value));
    return new Reply(status, contentType, List.copyOf(more), body);
  }

  /** Sends the response. */
  public void send(Exchange exchange) {
    headers.forEach(header -> exchange.responseHeader(header.name(), header.value()));
    exchange.respond(status, contentType, body);
  }
}
