package io.zinniawood.entry.internal.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection whose caller takes too long to send a request. The time of the first request
 * starts when the connection is opened, that of later requests at their first byte; it ends with
 * the body. The timeout applies to the whole request, as a timeout between bytes would allow a
 * caller to hold the connection indefinitely by sending single bytes.
 */
final class RequestReceiveTimeoutHandler extends ChannelInboundHandlerAdapter {
  private final long timeoutNanos;
  private long startNanos;
  private boolean receiving;
  private boolean checkScheduled;

  /** Creates a handler, to be added first in the pipeline; the time does not start yet. */
  RequestReceiveTimeoutHandler(long timeoutMillis) {
    this.timeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    context.pipeline().addAfter(ConnectionSetup.DECODER, "request-ends", new RequestEndHandler());
    start(context);
    context.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object bytes) {
    if (!receiving) {
      start(context);
    }
    context.fireChannelRead(bytes);
  }

  private void start(ChannelHandlerContext context) {
    receiving = true;
    startNanos = context.executor().ticker().nanoTime();
    if (!checkScheduled) {
      checkScheduled = true;
      schedule(context, timeoutNanos);
    }
  }

  // One scheduled check covers all requests that start before it; most end long before.
  private void schedule(ChannelHandlerContext context, long nanos) {
    Future<?> unused =
        context.executor().schedule(() -> check(context), nanos, TimeUnit.NANOSECONDS);
  }

  private void check(ChannelHandlerContext context) {
    Channel channel = context.channel();
    long leftNanos = startNanos + timeoutNanos - context.executor().ticker().nanoTime();
    if (!receiving || !channel.isActive()) {
      checkScheduled = false;
    } else if (leftNanos <= 0) {
      ChannelFuture unused = channel.close();
    } else {
      schedule(context, leftNanos);
    }
  }

  /** Detects the end of each request behind the decoder, the only handler that recognizes it. */
  private final class RequestEndHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof LastHttpContent) {
        receiving = false;
      }
      context.fireChannelRead(message);
    }
  }
}
