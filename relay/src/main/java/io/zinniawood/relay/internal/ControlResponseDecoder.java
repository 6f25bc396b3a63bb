package io.zinniawood.relay.internal;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes responses to control calls other than HEAD and CONNECT. */
public final class ControlResponseDecoder extends HttpResponseDecoder {
  /** Returns whether bytes have arrived on a channel that are not decoded yet. */
  public static boolean holdsBytes(Channel channel) {
    return channel.pipeline().get(ControlResponseDecoder.class).actualReadableBytes() > 0;
  }
}
