package io.zinniawood.entry.internal.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection whose caller takes too long to send a request. The time runs from the
 * connection, for later requests from their first byte, to the end of the body. It bounds the whole
 * request, as a bound on the pause between bytes lets a caller send one byte at a time for ever.
 */
final class RequestReceiveTimeoutHandler extends ChannelInboundHandlerAdapter {
  /** Name of Jooby's handler that decodes HTTP requests. */
  private static final String DECODER = "decoder";

  private final long timeoutNanos;
  private long startNanos;
  private boolean receiving;
  private boolean checkScheduled;

  /** Creates the first handler of a connection; does not start the time. */
  RequestReceiveTimeoutHandler(long maxMillis) {
    this.timeoutNanos = TimeUnit.MILLISECONDS.toNanos(maxMillis);
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    context.pipeline().addAfter(DECODER, "request-ends", new RequestEndHandler());
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

  // One check serves all requests that arrive before it, as most of them end at once.
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

  /** Sees the end of each request, which only the decoder knows. */
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
