package io.zinniawood.standin.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * TCP proxy on loopback with fault switches for tests. Faults of existing connections do not affect
 * new ones.
 */
public final class FaultProxy implements AutoCloseable {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Set<ProxiedConnection> proxiedConnections = ConcurrentHashMap.newKeySet();
  private final Set<Channel> clientChannels = ConcurrentHashMap.newKeySet();
  private final AtomicLong acceptedConnections = new AtomicLong();
  private final String targetHost;
  private final int targetPort;
  private Channel listener;
  private volatile NewConnectionPolicy newConnectionPolicy = NewConnectionPolicy.FORWARD;
  private volatile long delayToTargetMillis;
  private volatile long delayToClientMillis;

  /**
   * Creates a proxy; it listens after {@link #start(int)}.
   *
   * @param targetHost IP address of the target
   * @param targetPort TCP port of the target
   */
  public FaultProxy(String targetHost, int targetPort) {
    this.targetHost = targetHost;
    this.targetPort = targetPort;
  }

  /** Starts a proxy on a free port in front of a target on loopback. */
  public static FaultProxy launch(int targetPort) {
    FaultProxy proxy = new FaultProxy("127.0.0.1", targetPort);
    proxy.start(0);
    return proxy;
  }

  /**
   * Starts to listen on loopback.
   *
   * @param port TCP port, 0 for a free one
   * @return port on which the proxy listens
   */
  public synchronized int start(int port) {
    if (listener != null) {
      throw new IllegalStateException("the proxy is already started");
    }
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer())
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
            .syncUninterruptibly()
            .channel();
    return port();
  }

  /** Returns the port on which the proxy listens. */
  public synchronized int port() {
    if (listener == null) {
      throw new IllegalStateException("the proxy is not started");
    }
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Sets the delay in milliseconds for bytes in one direction, on all connections. */
  public void setDelayMillis(Direction direction, long delayMillis) {
    if (direction == Direction.TO_TARGET) {
      delayToTargetMillis = delayMillis;
    } else {
      delayToClientMillis = delayMillis;
    }
  }

  /** Sets how new connections are handled. */
  public void setNewConnectionPolicy(NewConnectionPolicy policy) {
    newConnectionPolicy = policy;
  }

  /** Resets both sides of all existing connections (TCP RST). */
  public void resetConnections() {
    proxiedConnections.forEach(ProxiedConnection::reset);
  }

  /** Permanently stops one direction of all existing connections without closing them. */
  public void stopForwarding(Direction direction) {
    proxiedConnections.forEach(connection -> connection.stopForwarding(direction));
  }

  /** Permanently stops both directions of all existing connections without closing them. */
  public void stopForwardingInBothDirections() {
    stopForwarding(Direction.TO_TARGET);
    stopForwarding(Direction.TO_CLIENT);
  }

  /** Resets the target's side of all existing connections; the client's side stays open. */
  public void halfOpenAtClient() {
    proxiedConnections.forEach(connection -> connection.halfOpen(Direction.TO_TARGET));
  }

  /** Resets the client's side of all existing connections; the target's side stays open. */
  public void halfOpenAtTarget() {
    proxiedConnections.forEach(connection -> connection.halfOpen(Direction.TO_CLIENT));
  }

  /** Returns the number of open connections from clients. */
  public int openClientConnections() {
    return clientChannels.size();
  }

  /** Returns the number of connections accepted since the start. */
  public long acceptedConnections() {
    return acceptedConnections.get();
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private ChannelInitializer<SocketChannel> initializer() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel client) {
        acceptedConnections.incrementAndGet();
        clientChannels.add(client);
        client.closeFuture().addListener(done -> clientChannels.remove(client));
        if (newConnectionPolicy == NewConnectionPolicy.FORWARD) {
          connect(client);
        } else if (newConnectionPolicy == NewConnectionPolicy.RESET) {
          client.eventLoop().execute(() -> ByteForwarder.reset(client));
        }
      }
    };
  }

  private void connect(SocketChannel client) {
    new Bootstrap()
        .group(client.eventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.AUTO_READ, false)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(targetHost, targetPort)
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                startForwarding(client, connected.channel());
              } else {
                ByteForwarder.reset(client);
              }
            });
  }

  private void startForwarding(Channel client, Channel target) {
    ByteForwarder toTarget = new ByteForwarder(client, target, () -> delayToTargetMillis);
    ByteForwarder toClient = new ByteForwarder(target, client, () -> delayToClientMillis);
    ProxiedConnection connection = new ProxiedConnection(client, target, toTarget, toClient);
    proxiedConnections.add(connection);
    client.closeFuture().addListener(done -> removeIfClosed(connection, client, target));
    target.closeFuture().addListener(done -> removeIfClosed(connection, client, target));
    client.pipeline().addLast(toTarget);
    target.pipeline().addLast(toClient);
    client.config().setAutoRead(true);
    target.config().setAutoRead(true);
  }

  private void removeIfClosed(ProxiedConnection connection, Channel client, Channel target) {
    if (!client.isOpen() && !target.isOpen()) {
      proxiedConnections.remove(connection);
    }
  }
}
