package io.zinniawood.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection to the administration port that sends much without a complete request, or
 * that sends requests and does not take the answers. Its requests are GETs without a body.
 */
public final class AdminInputLimit extends ChannelDuplexHandler {
  private static final int MAX_UNANSWERED_BYTES = 16 * 1024;
  private static final int MAX_REQUEST_LINE_BYTES = 1_024;

  /** With 64 connections and lines of four bytes, these heads take at most 25 MB of heap. */
  private static final int MAX_HEAD_BYTES = 4 * 1024;

  private long unansweredBytes;

  /** Returns the codec that follows this handler. */
  public static HttpServerCodec codec() {
    return new HttpServerCodec(decoderConfig());
  }

  /** Returns the configuration of the decoder that follows this handler. */
  public static HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEAD_BYTES);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (unansweredBytes > MAX_UNANSWERED_BYTES || !context.channel().isWritable()) {
      ReferenceCountUtil.release(message);
      context.close();
      return;
    }
    unansweredBytes += ((ByteBuf) message).readableBytes();
    context.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    unansweredBytes = 0;
    context.write(message, promise);
  }
}
