package io.zinniawood.relay.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

/** First handler of a pipeline whose writes fail once it is told so. */
final class FailingWrites extends ChannelOutboundHandlerAdapter {
  boolean failing;

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (failing) {
      ReferenceCountUtil.release(message);
      throw new OutOfMemoryError("Cannot reserve 4096 bytes of direct buffer memory");
    }
    context.write(message, promise);
  }
}
