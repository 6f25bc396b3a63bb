package io.zinniawood.standin.http;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import io.netty.channel.Channel;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.URLConnection;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** HTTP server of one stand-in; handlers run on event-loop threads and must not block. */
public final class StandInServer implements AutoCloseable {
  /** Largest request body in bytes; imports of KV caches are the largest requests. */
  private static final int MAX_REQUEST_BYTES = 64 << 20;

  /** Request bodies above this size in bytes are buffered in a temporary file, which is slow. */
  private static final int BODY_MEMORY_BYTES = 1 << 20;

  private static final String REQUEST_ID = "Request-Id";
  private static final String ALIVE_PATH = "/control/alive";
  private static final long MAX_STOP_NANOS = 5_000_000_000L;

  private final Jooby application = new Jooby();
  private final DelayTimer timer;
  private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
  private NettyServer server;
  private volatile Channel listener;
  private boolean closed;

  /** Creates a server; its name is also the prefix of the name of its timer thread. */
  public StandInServer(String name) {
    timer = new DelayTimer(name + "-timer");
    application.setExecutionMode(ExecutionMode.EVENT_LOOP);
    application.setName(name);
  }

  /** Handles a request. */
  @FunctionalInterface
  public interface Handler {
    /**
     * Handles a request and sends its response now or later.
     *
     * @throws IllegalArgumentException if the request is invalid; answered with status 400
     */
    void handle(Exchange exchange);
  }

  /** Adds a route. */
  public StandInServer route(String method, String path, Handler handler) {
    application.route(method, path, context -> dispatch(context, handler));
    return this;
  }

  private Object dispatch(Context context, Handler handler) throws Exception {
    Channel channel = ChannelAccess.channel(context);
    listener = channel.parent();
    if (channels.add(channel)) {
      channel.closeFuture().addListener(closed -> channels.remove(channel));
    }
    Exchange exchange = new Exchange(context, context.body().bytes(), timer);
    String requestId = exchange.header(REQUEST_ID);
    if (!requestId.isEmpty()) {
      exchange.responseHeader(REQUEST_ID, requestId);
    }
    return context.detach(
        detached -> {
          exchange.handleWith(handler);
          return detached;
        });
  }

  /** Returns the timer for delayed tasks of the stand-in. */
  public DelayTimer timer() {
    return timer;
  }

  /**
   * Starts the server on loopback.
   *
   * @param port TCP port, 0 for a free one
   * @return port on which the server listens
   */
  public synchronized int start(int port) {
    if (server != null) {
      throw new IllegalStateException("the stand-in is already started");
    }
    ServerOptions options = new ServerOptions();
    options.setHost("127.0.0.1");
    options.setPort(port);
    options.setIoThreads(2);
    options.setMaxRequestSize(MAX_REQUEST_BYTES);
    options.setBufferSize(BODY_MEMORY_BYTES);
    server = new NettyServer();
    server.setOptions(options);
    application.route("GET", ALIVE_PATH, context -> dispatch(context, this::alive));
    server.start(application);
    captureListener(server.getOptions().getPort());
    return server.getOptions().getPort();
  }

  private void alive(Exchange exchange) {
    exchange.respond(200, "application/json", "{}".getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Sends a request, whose dispatch stores the listening channel. Jooby does not expose that
   * channel, but it is the parent of the channel of each connection.
   */
  private static void captureListener(int port) {
    try {
      URLConnection connection =
          URI.create("http://127.0.0.1:" + port + ALIVE_PATH).toURL().openConnection();
      connection.getInputStream().close();
    } catch (IOException e) {
      throw new IllegalStateException(
          "the stand-in does not respond to " + ALIVE_PATH + " on port " + port, e);
    }
  }

  /** Returns the port on which the server listens. */
  public synchronized int port() {
    if (server == null) {
      throw new IllegalStateException("the stand-in is not started");
    }
    return server.getOptions().getPort();
  }

  /**
   * Stops listening and closes all connections, as when a process ends. The listening channel is
   * closed before Jooby stops: when the event loop ends first, the port sometimes stays open.
   */
  @Override
  public synchronized void close() {
    timer.close();
    if (server == null || closed) {
      return;
    }
    closed = true;
    listener.close().awaitUninterruptibly();
    awaitPortClosed(server.getOptions().getPort());
    channels.forEach(channel -> channel.close().awaitUninterruptibly());
    server.stop();
  }

  /**
   * Waits until the port refuses connections, as the operating system closes it shortly after the
   * channel.
   */
  private static void awaitPortClosed(int port) {
    long deadlineNanos = System.nanoTime() + MAX_STOP_NANOS;
    while (System.nanoTime() - deadlineNanos < 0) {
      try (Socket probe = new Socket()) {
        probe.setSoLinger(true, 0);
        probe.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
        TimeUnit.MILLISECONDS.sleep(1);
      } catch (ConnectException e) {
        return;
      } catch (IOException e) {
        // A reset or timeout of this probe does not show whether the port is closed; probe again.
        Thread.onSpinWait();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
    throw new IllegalStateException(
        "port " + port + " still accepts connections after the stand-in was closed");
  }
}
