package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.core.relay.Decision;
import io.zinniawood.core.relay.RelayRequestId;

/** One request of a caller and the connection that waits for its answer. */
public final class CallerExchange {
  private final RelayRequestId id;
  private final HttpRequest head;
  private final CallerRequest request;
  private final ByteBuf body;
  private final CallerHandler connection;
  private EventStreamSplitter splitter;
  private boolean headWritten;
  private int attempt;

  /**
   * Creates an exchange.
   *
   * @param id id of the request within this process
   * @param head head that the caller sent
   * @param request decoded properties of the head
   * @param body complete body; released when the exchange ends
   * @param connection connection of the caller
   */
  CallerExchange(
      RelayRequestId id,
      HttpRequest head,
      CallerRequest request,
      ByteBuf body,
      CallerHandler connection) {
    this.id = id;
    this.head = head;
    this.request = request;
    this.body = body;
    this.connection = connection;
  }

  /** Returns the id of the request within this process. */
  public RelayRequestId id() {
    return id;
  }

  /** Returns the head that the caller sent. */
  public HttpRequest head() {
    return head;
  }

  /** Returns the decoded properties of the head. */
  public CallerRequest request() {
    return request;
  }

  /** Returns the complete body, which is valid until the exchange ends. */
  public ByteBuf body() {
    return body;
  }

  CallerHandler connection() {
    return connection;
  }

  /** Returns the stream splitter, shared by all attempts so that no event is repeated. */
  EventStreamSplitter splitter() {
    if (splitter == null) {
      splitter = new EventStreamSplitter(request.resumeAfter());
    }
    return splitter;
  }

  /** Returns the caller's id of the request in the decision log. */
  String logId() {
    return request.id().map(Object::toString).orElse("-");
  }

  /** Returns the number of the last attempt; 0 before the first one. */
  int attempt() {
    return attempt;
  }

  void attempt(int begun) {
    attempt = begun;
  }

  /** Returns the log entry of a request whose caller left before any decision on it. */
  Decision abandoned() {
    return Decision.of(
        "request-ended", "request", logId(), "outcome", "caller-left", "reason", "before-decision");
  }

  boolean headWritten() {
    return headWritten;
  }

  void markHeadWritten() {
    headWritten = true;
  }
}
