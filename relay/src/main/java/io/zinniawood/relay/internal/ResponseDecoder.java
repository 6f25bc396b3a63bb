package io.zinniawood.relay.internal;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes responses to other requests than HEAD and CONNECT. */
public class ResponseDecoder extends HttpResponseDecoder {
  /** Returns whether bytes have arrived on a channel that are not decoded yet. */
  public static boolean holdsBytes(Channel channel) {
    return channel.pipeline().get(ResponseDecoder.class).actualReadableBytes() > 0;
  }
}
