package io.zinniawood.relay.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Notifies the caller's handler of received bytes before they are decoded. */
public final class ByteArrivalHandler extends ChannelInboundHandlerAdapter {
  private final CallerHandler caller;

  /** Creates a handler that must precede the HTTP decoder in the pipeline. */
  public ByteArrivalHandler(CallerHandler caller) {
    this.caller = caller;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    caller.bytesArrived();
    context.fireChannelRead(message);
  }
}
