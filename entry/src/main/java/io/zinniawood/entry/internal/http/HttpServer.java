package io.zinniawood.entry.internal.http;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import io.jooby.netty.NettyServer;
import io.netty.channel.Channel;
import io.zinniawood.core.model.NodeAddress;
import java.util.List;
import java.util.function.Consumer;

/** One HTTP port served by Jooby on Netty. Handlers run on the I/O threads and must not block. */
public final class HttpServer implements AutoCloseable {
  /**
   * Limit of Netty's decoder, which truncates a longer header. The routes reject headers above
   * {@link RequestHeaders#MAX_HEADER_BYTES}, which is well below this limit.
   */
  static final int MAX_DECODED_HEADER_BYTES = 65_536;

  private static final int MIN_BUFFER_BYTES = 16_384;

  /** Time to connect and to send the header; allows several retransmissions of a TCP segment. */
  private static final long MAX_HEADER_MILLIS = 10_000;

  /** Slowest accepted transfer of the largest body; allows 32 s for the default limit of 1 MiB. */
  private static final long MIN_BODY_BYTES_PER_SECOND = 32_768;

  private final NettyServer server;
  private final NodeAddress address;
  private final Channel listener;
  private final ConnectionLimiter connections;

  private HttpServer(
      NettyServer server, NodeAddress address, Channel listener, ConnectionLimiter connections) {
    this.server = server;
    this.address = address;
    this.listener = listener;
    this.connections = connections;
  }

  /**
   * Limits of a server.
   *
   * @param maxBodyBytes largest request body in bytes
   * @param maxConnections most open connections; additional ones are closed at once
   * @param maxRequestMillis time limit for receiving a whole request in milliseconds
   */
  record Limits(int maxBodyBytes, int maxConnections, long maxRequestMillis) {}

  /**
   * Starts a server; throws an unchecked exception if the address is in use.
   *
   * @param address address to listen on
   * @param maxBodyBytes largest request body in bytes
   * @param maxConnections most open connections; additional ones are closed at once
   * @param ioThreads number of I/O threads
   * @param setup adds the limits on what a connection holds
   * @param routes adds the routes to the application
   */
  public static HttpServer start(
      NodeAddress address,
      int maxBodyBytes,
      int maxConnections,
      int ioThreads,
      ConnectionSetup setup,
      Consumer<Jooby> routes) {
    long maxRequestMillis = MAX_HEADER_MILLIS + 1_000L * maxBodyBytes / MIN_BODY_BYTES_PER_SECOND;
    Limits limits = new Limits(maxBodyBytes, maxConnections, maxRequestMillis);
    return start(address, limits, ioThreads, setup, routes);
  }

  static HttpServer start(
      NodeAddress address,
      Limits limits,
      int ioThreads,
      ConnectionSetup setup,
      Consumer<Jooby> routes) {
    // The shutdown hook of Jooby would close the port on SIGTERM, before the entry has drained.
    System.setProperty("jooby.useShutdownHook", "false");
    ListeningChannel listening = new ListeningChannel();
    Jooby application = new Jooby();
    application.setExecutionMode(ExecutionMode.EVENT_LOOP);
    application.setStartupSummary(List.of(StartupSummary.NONE));
    listening.install(application);
    routes.accept(application);
    NettyServer server = new NettyServer();
    server.setOptions(options(address, limits.maxBodyBytes(), ioThreads));
    server.start(application);
    try {
      Channel listener = listening.find(address);
      ConnectionLimiter connections =
          new ConnectionLimiter(limits.maxConnections(), limits.maxRequestMillis(), setup);
      // Added on the event loop of the listener, as it would otherwise miss connections accepted in
      // the meantime. Connections accepted earlier, during startup, are not limited.
      listener
          .eventLoop()
          .submit(() -> listener.pipeline().addFirst(connections))
          .syncUninterruptibly();
      return new HttpServer(server, address, listener, connections);
    } catch (IllegalStateException e) {
      server.stop();
      throw e;
    }
  }

  private static ServerOptions options(NodeAddress address, int maxBodyBytes, int ioThreads) {
    ServerOptions options = new ServerOptions();
    options.setHost(address.host());
    options.setPort(address.port());
    options.setIoThreads(ioThreads);
    options.setWorkerThreads(1);
    options.setMaxRequestSize(maxBodyBytes);
    // Jooby writes bodies above the buffer size to temporary files; VMs have no disk for them.
    options.setBufferSize(Math.max(MIN_BUFFER_BYTES, maxBodyBytes + 1));
    options.setMaxHeaderSize(MAX_DECODED_HEADER_BYTES);
    options.setDefaultHeaders(false);
    options.setExpectContinue(true);
    options.setHttp2(false);
    return options;
  }

  /** Closes the port, then all open connections without waiting for their requests. */
  @Override
  public void close() {
    ListeningChannel.close(listener, address);
    connections.closeAll();
    server.stop();
  }
}
