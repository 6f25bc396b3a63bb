package io.zinniawood.standin.http;

import java.util.ArrayList;
import java.util.List;

/**
 * A response that is computed first and sent later, so that a fault can delay or drop it.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param headers further header fields
 * @param body content
 */
public record Reply(int status, String contentType, List<Header> headers, byte[] body) {
  /**
   * A header field.
   *
   * @param name field name
   * @param value field value
   */
  public record Header(String name, String value) {}

  /** Returns a response with a binary body. */
  public static Reply bytes(int status, byte[] body) {
    return new Reply(status, "application/octet-stream", List.of(), body);
  }

  /** Returns a response with a JSON value. */
  public static Reply json(int status, Object value) {
    return new Reply(status, "application/json", List.of(), Json.bytes(value));
  }

  /** Returns the response with an additional header field. */
  public Reply withHeader(String name, String value) {
    List<Header> extended = new ArrayList<>(headers);
    extended.add(new Header(name, value));
    return new Reply(status, contentType, List.copyOf(extended), body);
  }

  /** Sends the response. */
  public void send(Exchange exchange) {
    headers.forEach(header -> exchange.responseHeader(header.name(), header.value()));
    exchange.respond(status, contentType, body);
  }
}
