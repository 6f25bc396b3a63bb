package io.zinniawood.standin.http;

import io.jooby.Context;
import io.jooby.ForwardingContext;
import io.netty.channel.ChannelHandlerContext;
import java.lang.reflect.Field;

/**
 * Closes the connection of a request. Jooby has no public access to the Netty channel, so the field
 * of its context is read by reflection.
 */
final class ConnectionCut {
  private ConnectionCut() {}

  static void cut(Context context) {
    Context target = context;
    while (target instanceof ForwardingContext forwarding) {
      target = forwarding.getDelegate();
    }
    try {
      Field field = target.getClass().getDeclaredField("ctx");
      field.setAccessible(true);
      ((ChannelHandlerContext) field.get(target)).channel().close();
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("this version of Jooby hides the Netty channel", e);
    }
  }
}
