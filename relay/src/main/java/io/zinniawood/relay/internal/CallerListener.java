package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.zinniawood.core.relay.RelayRequestId;
import io.zinniawood.core.route.RequestLimits;

/** What connections of callers report to the shell. */
public interface CallerListener {
  /** Returns the limits in force. */
  RequestLimits limits();

  /** Tells whether the process is ending, so that connections are not kept. */
  boolean draining();

  /** Takes a complete request. */
  void requestReceived(CallerHandler caller, HttpRequest head, ByteBuf body);

  /** The caller closed its connection before the answer was complete. */
  void callerDisconnected(RelayRequestId id);

  /** The caller's connection takes bytes again, or no longer. */
  void writabilityChanged(RelayRequestId id, boolean writable);
}
