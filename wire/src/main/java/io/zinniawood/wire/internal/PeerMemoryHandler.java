package io.zinniawood.wire.internal;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;

/** Counts the messages that a connection's peer does not take. */
@Sharable
final class PeerMemoryHandler extends ChannelDuplexHandler {
  private final PeerMemory memory;

  PeerMemoryHandler(PeerMemory memory) {
    this.memory = memory;
  }

  @Override
  public void flush(ChannelHandlerContext context) {
    context.flush();
    if (!context.channel().isWritable()) {
      count(context);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    count(context);
    context.fireChannelWritabilityChanged();
  }

  // Below the low water mark nothing is counted, as no event reports the rest as sent.
  private void count(ChannelHandlerContext context) {
    ChannelOutboundBuffer unsent = context.channel().unsafe().outboundBuffer();
    memory.setUnsent(
        context.channel(),
        unsent == null || context.channel().isWritable() ? 0 : unsent.totalPendingWriteBytes());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    memory.setUnsent(context.channel(), 0);
    context.fireChannelInactive();
  }
}
