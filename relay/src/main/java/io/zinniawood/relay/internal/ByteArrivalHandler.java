package io.zinniawood.relay.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells a caller's handler that bytes have arrived, before they are decoded. */
public final class ByteArrivalHandler extends ChannelInboundHandlerAdapter {
  private final CallerHandler caller;

  /** Creates a handler that stands before the decoder. */
  public ByteArrivalHandler(CallerHandler caller) {
    this.caller = caller;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    caller.bytesArrived();
    context.fireChannelRead(message);
  }
}
