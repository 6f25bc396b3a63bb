package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.zinniawood.core.relay.AttemptFailureCause;
import io.zinniawood.relay.AnsweredRequest;
import io.zinniawood.relay.FailureLog;

/** Receives the events of attempts on connections to endpoints. */
public interface EndpointListener extends FailureLog {
  /** The head of any answer was received, even of one that is skipped afterwards. */
  void headReceived(EndpointExchange exchange, HttpResponse head);

  /** Returns which request an answer belongs to; answers to other requests are skipped. */
  AnsweredRequest answeredRequest(EndpointExchange exchange, HttpResponse head);

  /** The head of a stream was received; its content follows. */
  void streamStarted(EndpointExchange exchange, HttpResponse head);

  /** Content of a stream was received; the receiver must not release it. */
  void streamContentReceived(EndpointExchange exchange, ByteBuf content);

  /** All content received so far was delivered. */
  void streamReadComplete(EndpointExchange exchange);

  /** The stream was received completely. */
  void streamCompleted(EndpointExchange exchange);

  /** A complete answer was received; the receiver takes ownership of its content. */
  void answerReceived(EndpointExchange exchange, HttpResponse head, ByteBuf content);

  /**
   * An answer without a length ended with its connection, in order.
   *
   * @param answer answer to take or to drop; the receiver must do one of them
   */
  void answerEnded(EndpointExchange exchange, HttpResponse head, UnconfirmedAnswer answer);

  /**
   * A complete answer ends within what may be the head of another one, which may have filled it.
   * The connection reports the attempt as failed if the rest of a head follows.
   *
   * @param answer answer to take if nothing follows, or to drop; the receiver must do one of them
   */
  void answerInDoubt(EndpointExchange exchange, UnconfirmedAnswer answer);

  /**
   * Bytes arrived after the complete answer to the last request on a connection.
   *
   * @param answer whether they are the head of an answer
   */
  void surplusReceived(EndpointExchange lastExchange, boolean answer);

  /** The attempt ended without a complete answer. */
  void attemptFailed(EndpointExchange exchange, AttemptFailureCause cause);
}
