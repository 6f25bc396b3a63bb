package io.zinniawood.entry.internal.http;

import io.jooby.Jooby;
import io.netty.channel.Channel;
import io.zinniawood.core.model.NodeAddress;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Finds and closes the Netty channel that listens on a port. Jooby does not expose this channel,
 * but it is the parent of every accepted connection, so a request to the port reveals it.
 */
final class ListeningChannel {
  /** A local connection takes milliseconds, so a longer wait means that the port is not served. */
  private static final long TIMEOUT_MILLIS = 5_000;

  private static final int PROBE_TIMEOUT_MILLIS = 200;

  // Random, so that callers cannot guess it and it cannot collide with another route.
  private final String probePath = "/" + UUID.randomUUID();
  private final CompletableFuture<Channel> channel = new CompletableFuture<>();

  /** Adds the route for the request that {@link #find} sends. */
  void install(Jooby application) {
    application.get(
        probePath,
        context -> {
          CallerChannel.of(context).forEach(caller -> channel.complete(caller.parent()));
          return context.send("");
        });
  }

  /**
   * Returns the listening channel of a started server.
   *
   * @throws IllegalStateException if the server does not respond in time
   */
  Channel find(NodeAddress address) {
    String request =
        "GET " + probePath + " HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n";
    try (Socket socket = new Socket()) {
      socket.connect(connectableAddress(address), (int) TIMEOUT_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return channel.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (IOException | ExecutionException | TimeoutException e) {
      throw new IllegalStateException("HTTP server does not respond on " + address, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(
          "interrupted while starting the HTTP server on " + address, e);
    }
  }

  /**
   * Closes a listening channel and waits until the operating system refuses connections, which can
   * take a moment. Jooby would stop the event loop first, which sometimes leaves the port open:
   * clients can then connect, but the connections are never accepted.
   */
  static void close(Channel listener, NodeAddress address) {
    if (!listener.isOpen()) {
      return;
    }
    listener.close().awaitUninterruptibly();
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    try {
      while (!refusesConnections(connectableAddress(address)) && System.nanoTime() - endNanos < 0) {
        TimeUnit.MILLISECONDS.sleep(1);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean refusesConnections(InetSocketAddress target) {
    try (Socket probe = new Socket()) {
      probe.setSoLinger(true, 0);
      probe.connect(target, PROBE_TIMEOUT_MILLIS);
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (IOException e) {
      // A reset does not show whether the port is closed, so the caller probes again.
      return false;
    }
  }

  private static InetSocketAddress connectableAddress(NodeAddress address) {
    InetSocketAddress bound = new InetSocketAddress(address.host(), address.port());
    return !bound.isUnresolved() && bound.getAddress().isAnyLocalAddress()
        ? new InetSocketAddress(InetAddress.getLoopbackAddress(), address.port())
        : bound;
  }
}
