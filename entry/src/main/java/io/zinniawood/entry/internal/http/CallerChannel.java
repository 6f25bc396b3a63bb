package io.zinniawood.entry.internal.http;

import io.jooby.Context;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.AttributeKey;
import io.vavr.control.Option;
import java.lang.reflect.Field;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Connection of a caller. Jooby reports a closed connection only when a write fails, so a caller
 * that leaves while its request waits would go unnoticed; this class reads the Netty channel of the
 * context for that.
 */
final class CallerChannel {
  private static final AttributeKey<AtomicBoolean> BUSY =
      AttributeKey.valueOf(CallerChannel.class, "busy");
  private static final String STALLED_WRITES = "stalled-writes";

  private final Channel channel;

  private CallerChannel(Channel channel) {
    this.channel = channel;
  }

  /** Returns the connection of a context, none if Jooby's context has another form. */
  static Option<CallerChannel> of(Context context) {
    return readField(context, "ctx", ChannelHandlerContext.class)
        .map(handler -> new CallerChannel(handler.channel()));
  }

  /**
   * Returns whether Netty's decoder gave up on the request. Such a request lacks the header fields
   * after the fault, among them possibly its idempotency key, and must not run.
   */
  static boolean decodingFailed(Context context) {
    return readField(context, "req", HttpRequest.class)
        .exists(request -> request.decoderResult().isFailure());
  }

  private static <T> Option<T> readField(Context context, String name, Class<T> type) {
    try {
      Field field = context.getClass().getDeclaredField(name);
      field.setAccessible(true);
      return Option.of(field.get(context)).filter(type::isInstance).map(type::cast);
    } catch (ReflectiveOperationException | RuntimeException changed) {
      return Option.none();
    }
  }

  /**
   * Returns whether an earlier request of this connection is open: the caller pipelined. Jooby
   * would not keep the order of the answers, and the caller would take one answer for another.
   */
  boolean isBusy() {
    AtomicBoolean flag = channel.attr(BUSY).get();
    return flag != null && flag.get();
  }

  /** Marks the connection as busy; call on its I/O thread. */
  void markBusy() {
    channel.attr(BUSY).setIfAbsent(new AtomicBoolean());
    channel.attr(BUSY).get().set(true);
    if (channel.pipeline().get(STALLED_WRITES) == null) {
      channel.pipeline().addFirst(STALLED_WRITES, new StalledWriteHandler());
    }
  }

  /** Allows the next request on the connection. */
  void markIdle() {
    channel.attr(BUSY).get().set(false);
  }

  /** Runs a task when all bytes that were written before are sent, or their connection is gone. */
  void onWritten(Runnable task) {
    try {
      channel
          .eventLoop()
          .execute(
              () -> {
                // Its future completes after those of all earlier writes.
                ChannelFuture unused =
                    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> task.run());
              });
    } catch (RejectedExecutionException closed) {
      task.run();
    }
  }

  /** Runs a task when the connection is closed, at once if it is. */
  void onClosed(Runnable task) {
    ChannelFuture unused = channel.closeFuture().addListener(closed -> task.run());
  }

  /** Returns the listening channel that accepted this connection. */
  Channel parent() {
    return channel.parent();
  }

  void close() {
    ChannelFuture unused = channel.close();
  }
}
