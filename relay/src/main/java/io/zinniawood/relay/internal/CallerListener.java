package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.zinniawood.core.relay.RelayRequestId;
import io.zinniawood.core.route.RequestLimits;
import io.zinniawood.ingress.CallerMemory;
import io.zinniawood.ingress.MemoryAccount;

/** Receives the events of callers' connections. */
public interface CallerListener {
  /** Returns the request limits currently in effect. */
  RequestLimits limits();

  /** Returns the memory of the bodies of all callers' requests. */
  MemoryAccount requestMemory();

  /** Returns the memory of the connections of all callers. */
  CallerMemory connectionMemory();

  /** Returns whether the process is draining, so that connections are closed after their answer. */
  boolean draining();

  /** A request was received completely; the receiver takes ownership of the body. */
  void requestReceived(CallerHandler caller, HttpRequest head, ByteBuf body);

  /** The connection of a request in progress failed; the request must be ended at once. */
  void requestFailed(RelayRequestId id);

  /** The caller's connection was closed before the answer was complete. */
  void callerDisconnected(RelayRequestId id);

  /** The relay closes a connection in a way that may leave its caller without an answer. */
  void connectionClosed(ConnectionClose close);

  /** The outbound buffer of the caller's connection became writable or full. */
  void writabilityChanged(RelayRequestId id, boolean writable);
}
