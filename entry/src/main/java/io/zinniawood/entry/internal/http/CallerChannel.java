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

/**
 * Connection of a caller. Jooby reports a closed connection only when a write fails, so it does not
 * detect a caller that disconnects before the response starts. This class therefore obtains the
 * Netty channel of a Jooby context by reflection.
 */
final class CallerChannel {
  private static final AttributeKey<Boolean> BUSY =
      AttributeKey.valueOf(CallerChannel.class, "busy");

  private final Channel channel;

  private CallerChannel(Channel channel) {
    this.channel = channel;
  }

  /** Returns the connection of a context; none if the context lacks the expected Jooby fields. */
  static Option<CallerChannel> of(Context context) {
    return readField(context, "ctx", ChannelHandlerContext.class)
        .map(handler -> new CallerChannel(handler.channel()));
  }

  /**
   * Returns whether Netty's decoder failed on the request. Such a request lacks the header fields
   * after the error, possibly including its idempotency key, so it must not be executed.
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
    } catch (ReflectiveOperationException | RuntimeException inaccessible) {
      return Option.none();
    }
  }

  /**
   * Returns whether an earlier request on this connection is still open, so that the caller
   * pipelined the next one. Jooby does not preserve the order of responses to pipelined requests,
   * so the caller would match responses to the wrong requests. Must be called on the I/O thread of
   * the connection, as a request that follows the whole answer could be taken for pipelined
   * otherwise.
   */
  boolean isBusy() {
    return Boolean.TRUE.equals(channel.attr(BUSY).get());
  }

  /** Marks the connection as busy. Must be called on its I/O thread. */
  void markBusy() {
    channel.attr(BUSY).set(true);
  }

  /**
   * Allows the next request on the connection. Must be called on its I/O thread, in the task that
   * writes the last bytes of the answer: no request is read between the two.
   */
  void markIdle() {
    channel.attr(BUSY).set(false);
  }

  /** Runs a task on the I/O thread; returns false if that thread has stopped. */
  boolean execute(Runnable task) {
    try {
      channel.eventLoop().execute(task);
      return true;
    } catch (RejectedExecutionException stopped) {
      return false;
    }
  }

  /**
   * Sends all earlier writes; runs a task when they are sent, or when the connection is closed.
   * Must be called on the I/O thread.
   */
  void onWritten(Runnable task) {
    // The future of this empty write completes after those of all earlier writes.
    ChannelFuture unused =
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> task.run());
  }

  /** Runs a task when the connection is closed; immediately if it is closed already. */
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
