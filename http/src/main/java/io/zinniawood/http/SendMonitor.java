package io.zinniawood.http;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Records whether the sending of a request has started or failed, and what its response says about
 * retries; attached to the request as a tag.
 */
final class SendMonitor {
  private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);
  private volatile List<String> retryAfter = List.of();
  private volatile boolean sendFailed;
  private volatile boolean connectionNotReusable;
  private volatile List<String> connectionRequestIds = List.of();
  private volatile ResponseEnd responseEnd = ResponseEnd.STATED;

  private enum State {
    WAITING,
    SENDING,
    ABANDONED
  }

  /**
   * Marks the request as being sent; returns false if it must not be sent because it was abandoned
   * or its sending has already started.
   */
  boolean startSending() {
    return state.compareAndSet(State.WAITING, State.SENDING);
  }

  /** Prevents a waiting request from being sent; returns false if it is not waiting any more. */
  boolean abandon() {
    return state.compareAndSet(State.WAITING, State.ABANDONED);
  }

  /** Returns whether any part of the request may have been sent. */
  boolean sendStarted() {
    return state.get() == State.SENDING;
  }

  /** Records that the request could not be sent completely. */
  void markSendFailed() {
    sendFailed = true;
  }

  /** Returns whether the sending of the request failed; a response may have been read even so. */
  boolean sendFailed() {
    return sendFailed;
  }

  /** Records that the connection of the request must carry no other request. */
  void setConnectionNotReusable() {
    connectionNotReusable = true;
  }

  /** Returns whether the connection of the request must carry no other request. */
  boolean connectionNotReusable() {
    return connectionNotReusable;
  }

  /** Stores the ids of the last requests on the connection, with the present one. */
  void setConnectionRequestIds(List<String> ids) {
    connectionRequestIds = ids;
  }

  /** Returns the ids of the last requests on the connection; empty if requests have no ids. */
  List<String> connectionRequestIds() {
    return connectionRequestIds;
  }

  /** Stores how the response ends. */
  void setResponseEnd(ResponseEnd end) {
    responseEnd = end;
  }

  /** Returns how the response ends. */
  ResponseEnd responseEnd() {
    return responseEnd;
  }

  /** Stores the values of a header that OkHttp must not see. */
  void hideRetryAfter(List<String> values) {
    retryAfter = List.copyOf(values);
  }

  /** Returns the values of the hidden header. */
  List<String> hiddenRetryAfter() {
    return retryAfter;
  }
}
