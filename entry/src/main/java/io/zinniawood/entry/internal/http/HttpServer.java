package io.zinniawood.entry.internal.http;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import io.jooby.netty.NettyServer;
import io.zinniawood.core.model.NodeAddress;
import java.util.List;
import java.util.function.Consumer;

/** One HTTP port served by Jooby on Netty. Handlers run on the I/O threads and must not block. */
public final class HttpServer implements AutoCloseable {
  /**
   * Limit of Netty's decoder. Above it, the request is cut off in the middle, so the routes refuse
   * headers above {@link RequestHeaders#MAX_HEADER_BYTES}, which is well below.
   */
  private static final int MAX_DECODED_HEADER_BYTES = 65_536;

  private static final int MIN_BUFFER_BYTES = 16_384;

  private final NettyServer server;

  private HttpServer(NettyServer server) {
    this.server = server;
  }

  /**
   * Starts a server; throws an unchecked exception if the address is in use.
   *
   * @param address address to listen on
   * @param maxBodyBytes largest request body in bytes
   * @param ioThreads number of I/O threads
   * @param routes adds the routes
   */
  public static HttpServer start(
      NodeAddress address, int maxBodyBytes, int ioThreads, Consumer<Jooby> routes) {
    // Jooby's own shutdown hook would close the port on SIGTERM, before the drain.
    System.setProperty("jooby.useShutdownHook", "false");
    ServerOptions options = new ServerOptions();
    options.setHost(address.host());
    options.setPort(address.port());
    options.setIoThreads(ioThreads);
    options.setWorkerThreads(1);
    options.setMaxRequestSize(maxBodyBytes);
    // Bodies above the buffer size go to temporary files; a VM has no disk for them.
    options.setBufferSize(Math.max(MIN_BUFFER_BYTES, maxBodyBytes + 1));
    options.setMaxHeaderSize(MAX_DECODED_HEADER_BYTES);
    options.setDefaultHeaders(false);
    options.setExpectContinue(true);
    options.setHttp2(false);
    Jooby application = new Jooby();
    application.setExecutionMode(ExecutionMode.EVENT_LOOP);
    application.setStartupSummary(List.of(StartupSummary.NONE));
    routes.accept(application);
    NettyServer server = new NettyServer();
    server.setOptions(options);
    server.start(application);
    return new HttpServer(server);
  }

  @Override
  public void close() {
    server.stop();
  }
}
