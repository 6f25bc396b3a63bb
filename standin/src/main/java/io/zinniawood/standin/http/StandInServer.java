package io.zinniawood.standin.http;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import java.util.concurrent.ScheduledThreadPoolExecutor;

/** HTTP server of one stand-in; handlers run on event-loop threads and must not block. */
public final class StandInServer implements AutoCloseable {
  /** Largest request body in bytes; KV imports are the largest requests. */
  private static final int MAX_REQUEST_BYTES = 64 << 20;

  /** Request bodies above this size in bytes go through a temporary file, which is slow. */
  private static final int BODY_MEMORY_BYTES = 1 << 20;

  private final Jooby application = new Jooby();
  private final ScheduledThreadPoolExecutor scheduler;
  private NettyServer server;

  /** Creates a server whose delays run on a daemon thread of the given name. */
  public StandInServer(String name) {
    scheduler =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, name + "-scheduler");
              thread.setDaemon(true);
              return thread;
            });
    scheduler.setRemoveOnCancelPolicy(true);
    scheduler.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
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
    Exchange exchange = new Exchange(context, context.body().bytes(), scheduler);
    return context.detach(
        detached -> {
          exchange.answer(handler);
          return detached;
        });
  }

  /** Returns the scheduler for delayed work of the stand-in. */
  public ScheduledThreadPoolExecutor scheduler() {
    return scheduler;
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

  @Override
  public synchronized void close() {
    scheduler.shutdownNow();
    if (server != null) {
      server.stop();
    }
  }
}
