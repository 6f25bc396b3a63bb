package io.zinniawood.relay.internal;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpMessage;

/**
 * Decodes the answer to a HEAD request, which may state a length or chunks and has no body (RFC
 * 9112, section 6.3). Its connection carries no other request.
 */
final class HeadAnswerDecoder extends ResponseDecoder {
  /** Returns whether the connection carries a HEAD request. */
  static boolean decodes(Channel channel) {
    return channel.pipeline().get(HeadAnswerDecoder.class) != null;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return true;
  }
}
