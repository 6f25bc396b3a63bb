package io.zinniawood.entry.internal.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Handler of a listening channel that limits its open connections. Closes new connections above the
 * limit at once, and adds to the others the handlers that limit their times and their memory.
 */
final class ConnectionLimiter extends ChannelInboundHandlerAdapter {
  private final int maxConnections;
  private final long maxRequestMillis;
  private final ConnectionSetup setup;
  private final Set<Channel> openConnections = ConcurrentHashMap.newKeySet();

  ConnectionLimiter(int maxConnections, long maxRequestMillis, ConnectionSetup setup) {
    this.maxConnections = maxConnections;
    this.maxRequestMillis = maxRequestMillis;
    this.setup = setup;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    Channel connection = (Channel) message;
    if (openConnections.size() >= maxConnections) {
      // close() would fail, as the connection has no event loop yet.
      connection.unsafe().closeForcibly();
      return;
    }
    openConnections.add(connection);
    ChannelFuture unused =
        connection.closeFuture().addListener(closed -> openConnections.remove(connection));
    connection
        .pipeline()
        .addFirst(
            new SetupHandler(),
            new StalledWriteHandler(),
            new RequestReceiveTimeoutHandler(maxRequestMillis));
    context.fireChannelRead(connection);
  }

  /** Prepares a connection when Jooby has added its handlers. */
  private final class SetupHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      setup.install(context.channel());
      context.pipeline().remove(this);
      context.fireChannelActive();
    }
  }

  /** Closes all open connections and waits until they are closed. */
  void closeAll() {
    openConnections.forEach(connection -> connection.close().awaitUninterruptibly());
  }
}
