package io.zinniawood.relay.internal;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.zinniawood.core.frame.StatusLine;

/** Decodes responses to other requests than HEAD and CONNECT. */
public class ResponseDecoder extends HttpResponseDecoder {
  /** Returns whether bytes have arrived on a channel that are not decoded yet. */
  public static boolean holdsBytes(Channel channel) {
    return channel.pipeline().get(ResponseDecoder.class).actualReadableBytes() > 0;
  }

  /**
   * Creates the message of a status line.
   *
   * @throws IllegalArgumentException if HTTP does not know the status line; Netty then reports a
   *     head that could not be decoded. Netty itself takes any number for a status.
   */
  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    if (!StatusLine.isValid(initialLine[0], initialLine[1])) {
      throw new IllegalArgumentException("unknown status line: " + String.join(" ", initialLine));
    }
    return super.createMessage(initialLine);
  }
}
