package io.zinniawood.wire.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.wire.WireConnection;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.WireListener;
import io.zinniawood.wire.WirePeer;
import io.zinniawood.wire.WireTiming;
import io.zinniawood.wire.WireTls;
import io.zinniawood.wire.WireTraffic;
import io.zinniawood.wire.WireTransport;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Wire transport over TCP that uses Netty's NIO transport. */
public final class NettyWireTransport implements WireTransport {
  private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;
  private static final int MAX_CONSOLIDATED_FLUSHES = 64;

  private final TransportContext context;
  private final Option<TlsContexts> tls;
  private final EventLoopGroup group;
  private final TrafficMeter trafficMeter = new TrafficMeter();
  private final PeerMemory memory;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

  private NettyWireTransport(
      TransportContext context, Option<TlsContexts> tls, long memoryBytes, int threads) {
    this.context = context;
    this.tls = tls;
    this.memory = new PeerMemory(memoryBytes);
    this.group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
  }

  /**
   * Creates a transport.
   *
   * @param self identity of this process
   * @param generation supplies the current configuration generation of this process
   * @param timing timeouts and probe intervals
   * @param tls certificates, none for plain TCP
   * @param memoryBytes maximum of incomplete frames and unsent messages of all connections in
   *     bytes; the largest frame needs 12 MiB
   * @param threads number of I/O threads, at least 1
   * @return the transport, or an error if the certificates cannot be read
   */
  public static Either<WireError, WireTransport> create(
      WirePeer self,
      Supplier<Generation> generation,
      WireTiming timing,
      Option<WireTls> tls,
      long memoryBytes,
      int threads) {
    TransportContext context =
        new TransportContext(
            self,
            generation,
            timing,
            new ProbeBudget(timing.idleProbeIntervalMillis()),
            System::nanoTime);
    if (tls.isEmpty()) {
      return Either.right(new NettyWireTransport(context, Option.none(), memoryBytes, threads));
    }
    return TlsContexts.load(tls.get())
        .map(
            contexts ->
                new NettyWireTransport(context, Option.some(contexts), memoryBytes, threads));
  }

  @Override
  public Either<WireError, NodeAddress> listen(NodeAddress address, WireListener listener) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    tls.forEach(
                        contexts ->
                            channel
                                .pipeline()
                                .addLast(contexts.server().newHandler(channel.alloc())));
                    addHandlers(channel, ConnectionSide.ACCEPTOR, listener, ignored -> {});
                  }
                });
    ChannelFuture bound =
        bootstrap
            .bind(new InetSocketAddress(address.host(), address.port()))
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      return Either.left(
          new WireError("cannot listen on %s: %s".formatted(address, bound.cause().getMessage())));
    }
    channels.add(bound.channel());
    return Either.right(address);
  }

  @Override
  public CompletableFuture<Either<WireError, WireConnection>> connect(
      NodeAddress address, WireListener listener) {
    if (group.isShuttingDown()) {
      return CompletableFuture.completedFuture(
          Either.left(
              new WireError("cannot connect to %s: the transport is closed".formatted(address))));
    }
    CompletableFuture<Either<WireError, WireConnection>> result = new CompletableFuture<>();
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) context.timing().connectTimeoutMillis())
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    tls.forEach(
                        contexts ->
                            channel
                                .pipeline()
                                .addLast(contexts.client().newHandler(channel.alloc())));
                    addHandlers(channel, ConnectionSide.INITIATOR, listener, result::complete);
                  }
                });
    bootstrap
        .connect(address.host(), address.port())
        .addListener(
            connected -> {
              if (!connected.isSuccess()) {
                result.complete(
                    Either.left(
                        new WireError(
                            "cannot connect to %s: %s"
                                .formatted(address, connected.cause().getMessage()))));
              }
            });
    return result;
  }

  private void addHandlers(
      Channel channel,
      ConnectionSide side,
      WireListener listener,
      Consumer<Either<WireError, WireConnection>> onHandshake) {
    channels.add(channel);
    channel
        .pipeline()
        .addLast(trafficMeter)
        .addLast(new PeerMemoryHandler(memory))
        .addLast(new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true))
        .addLast(new EnvelopeCodec(memory))
        .addLast(new ConnectionHandler(context, side, listener, onHandshake));
  }

  @Override
  public WireTraffic traffic() {
    return trafficMeter.traffic();
  }

  @Override
  public void close() {
    channels.close().awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
    group
        .shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
  }
}
