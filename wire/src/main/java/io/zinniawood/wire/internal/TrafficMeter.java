package io.zinniawood.wire.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.zinniawood.wire.WireTraffic;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes, reads and flushes of all connections of a transport. */
@Sharable
final class TrafficMeter extends ChannelDuplexHandler {
  private final LongAdder receivedBytes = new LongAdder();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedFrames = new LongAdder();
  private final LongAdder sentFrames = new LongAdder();

  WireTraffic traffic() {
    return new WireTraffic(
        receivedBytes.sum(), sentBytes.sum(), receivedFrames.sum(), sentFrames.sum());
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes) {
      receivedBytes.add(bytes.readableBytes());
      receivedFrames.increment();
    }
    context.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof ByteBuf bytes) {
      sentBytes.add(bytes.readableBytes());
    }
    context.write(message, promise);
  }

  @Override
  public void flush(ChannelHandlerContext context) {
    sentFrames.increment();
    context.flush();
  }
}
