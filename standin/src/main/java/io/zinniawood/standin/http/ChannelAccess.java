package io.zinniawood.standin.http;

import io.jooby.Context;
import io.jooby.ForwardingContext;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.lang.reflect.Field;

/**
 * Access to the Netty channel of a request. Jooby has no public API for it, so a field of its
 * context is read by reflection.
 */
final class ChannelAccess {
  private ChannelAccess() {}

  /** Closes the connection. */
  static void close(Context context) {
    ChannelFuture unused = channel(context).close();
  }

  /**
   * Flushes the connection. On an event-loop thread Jooby leaves the flush to the end of the
   * channel's current read, but there is none when the handler of another request sends the
   * response.
   */
  static void flushIfOnEventLoop(Context context) {
    Channel channel = channel(context);
    if (channel.eventLoop().inEventLoop()) {
      channel.flush();
    }
  }

  static Channel channel(Context context) {
    Context target = context;
    while (target instanceof ForwardingContext forwarding) {
      target = forwarding.getDelegate();
    }
    try {
      Field field = target.getClass().getDeclaredField("ctx");
      field.setAccessible(true);
      return ((ChannelHandlerContext) field.get(target)).channel();
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(
          "cannot read the Netty channel from field \"ctx\" of " + target.getClass().getName(), e);
    }
  }
}
