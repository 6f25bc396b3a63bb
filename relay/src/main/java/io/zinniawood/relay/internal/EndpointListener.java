package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.zinniawood.core.relay.AttemptFailureCause;

/** What connections to endpoints report to the shell about one attempt. */
public interface EndpointListener {
  /** Tells whether an answer belongs to another request and is to be skipped. */
  boolean belongsToOtherRequest(EndpointExchange exchange, HttpResponse head);

  /** The head of a stream has arrived; its content follows. */
  void streamStarted(EndpointExchange exchange, HttpResponse head);

  /** Content of a stream has arrived; not released by the receiver. */
  void streamContentReceived(EndpointExchange exchange, ByteBuf content);

  /** All content that is at hand was handed over. */
  void streamReadComplete(EndpointExchange exchange);

  /** The stream has ended as complete. */
  void streamCompleted(EndpointExchange exchange);

  /** A whole answer has arrived; its content is released by the receiver. */
  void answerReceived(EndpointExchange exchange, HttpResponse head, ByteBuf content);

  /** The attempt has ended without a whole answer. */
  void attemptFailed(EndpointExchange exchange, AttemptFailureCause cause);
}
