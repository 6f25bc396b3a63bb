package io.zinniawood.standin.http;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import io.netty.channel.Channel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** HTTP server of one stand-in; handlers run on event-loop threads and must not block. */
public final class StandInServer implements AutoCloseable {
  /** Largest request body in bytes; KV imports are the largest requests. */
  private static final int MAX_REQUEST_BYTES = 64 << 20;

  /** Request bodies above this size in bytes go through a temporary file, which is slow. */
  private static final int BODY_MEMORY_BYTES = 1 << 20;

  private static final long MAX_STOP_NANOS = 5_000_000_000L;

  private final Jooby application = new Jooby();
  private final DelayTimer timer;
  private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
  private NettyServer server;

  /** Creates a server whose delays run on a daemon thread of the given name. */
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
    if (channels.add(channel)) {
      channel.closeFuture().addListener(closed -> channels.remove(channel));
    }
    Exchange exchange = new Exchange(context, context.body().bytes(), timer);
    return context.detach(
        detached -> {
          exchange.answer(handler);
          return detached;
        });
  }

  /** Returns the timer for delayed work of the stand-in. */
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
      throw new IllegalStateException("the stand-in was started before");
    }
    ServerOptions options = new ServerOptions();
    options.setHost("127.0.0.1");
    options.setPort(port);
    options.setIoThreads(2);
    options.setMaxRequestSize(MAX_REQUEST_BYTES);
    options.setBufferSize(BODY_MEMORY_BYTES);
    server = new NettyServer();
    server.setOptions(options);
    server.start(application);
    return server.getOptions().getPort();
  }

  /** Returns the port on which the server listens. */
  public synchronized int port() {
    if (server == null) {
      throw new IllegalStateException("the stand-in was not started");
    }
    return server.getOptions().getPort();
  }

  /** Stops to listen and closes all connections, as the end of a process does. */
  @Override
  public synchronized void close() {
    timer.close();
    if (server != null) {
      server.stop();
      channels.forEach(channel -> channel.close().awaitUninterruptibly());
      awaitRefusal(server.getOptions().getPort());
    }
  }

  /** Jooby stops in the background; waits until new connections are refused. */
  private static void awaitRefusal(int port) {
    long deadlineNanos = System.nanoTime() + MAX_STOP_NANOS;
    while (System.nanoTime() - deadlineNanos < 0) {
      try (Socket probe = new Socket(InetAddress.getLoopbackAddress(), port)) {
        probe.setSoLinger(true, 0);
        TimeUnit.MILLISECONDS.sleep(1);
      } catch (IOException e) {
        return;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
