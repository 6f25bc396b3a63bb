package io.zinniawood.entry.internal.http;

import io.jooby.Context;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.AttributeKey;
import io.vavr.control.Option;
import java.lang.reflect.Field;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Connection of a caller. Jooby reports a closed connection only when a write fails, so a caller
 * that leaves while its request waits would go unnoticed; this class reads the Netty channel of the
 * context for that.
 */
final class CallerChannel {
  private static final AttributeKey<AtomicBoolean> BUSY =
      AttributeKey.valueOf(CallerChannel.class, "busy");

  private final Channel channel;

  private CallerChannel(Channel channel) {
    this.channel = channel;
  }

  /** Returns the connection of a context, none if Jooby's context has another form. */
  static Option<CallerChannel> of(Context context) {
    try {
      Field field = context.getClass().getDeclaredField("ctx");
      field.setAccessible(true);
      return field.get(context) instanceof ChannelHandlerContext handler
          ? Option.some(new CallerChannel(handler.channel()))
          : Option.none();
    } catch (ReflectiveOperationException | RuntimeException changed) {
      return Option.none();
    }
  }

  /**
   * Marks the connection as occupied by a request. Returns false if another request occupies it:
   * the caller pipelined, and Jooby would not keep the order of the answers.
   */
  boolean occupy() {
    channel.attr(BUSY).setIfAbsent(new AtomicBoolean());
    return channel.attr(BUSY).get().compareAndSet(false, true);
  }

  /** Allows the next request on the connection. */
  void release() {
    channel.attr(BUSY).get().set(false);
  }

  /** Runs a task when the connection is closed, at once if it is. */
  void onClosed(Runnable task) {
    channel.closeFuture().addListener(closed -> task.run());
  }

  void close() {
    channel.close();
  }
}
