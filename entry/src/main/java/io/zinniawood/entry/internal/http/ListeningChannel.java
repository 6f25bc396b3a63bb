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
 * Finds and closes the channel that listens on a port. Jooby does not give it out; it is the parent
 * of any connection, so a connection to the own port finds it.
 */
final class ListeningChannel {
  /** A connection on the own host takes milliseconds; more means that the port does not serve. */
  private static final long TIMEOUT_MILLIS = 5_000;

  private static final int PROBE_TIMEOUT_MILLIS = 200;

  // A random path cannot be known to callers or equal a path of the routes.
  private final String probePath = "/" + UUID.randomUUID();
  private final CompletableFuture<Channel> channel = new CompletableFuture<>();

  /** Adds the route that sees the connection to the own port. */
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
   * @throws IllegalStateException if the server does not answer
   */
  Channel find(NodeAddress address) {
    String request =
        "GET " + probePath + " HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n";
    try (Socket socket = new Socket()) {
      socket.connect(connectableAddress(address), (int) TIMEOUT_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return channel.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (IOException | ExecutionException | TimeoutException e) {
      throw new IllegalStateException("the server does not answer on " + address, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted during the start of " + address, e);
    }
  }

  /**
   * Closes a listening channel and waits until the operating system refuses connections, which
   * happens shortly after. Jooby ends the event loop first, and the port sometimes stays open then:
   * connections are made and never accepted.
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
      // A reset of the probe says nothing about the port; the next probe does.
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
