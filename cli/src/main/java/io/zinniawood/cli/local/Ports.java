package io.zinniawood.cli.local;

import io.zinniawood.core.model.NodeAddress;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Finds free TCP ports on loopback. */
public final class Ports {
  private static final String LOOPBACK = "127.0.0.1";

  /**
   * The range lies below the ephemeral ports of Linux: an outgoing connection could take an
   * ephemeral port between this check and the bind of the listener.
   */
  private static final int FIRST_PORT = 12_000;

  private static final int END_PORT_EXCLUSIVE = 32_000;
  private static final int MAX_TRIES = 200;

  /** Ports that were returned; a listener may be closed for a moment, or not be bound yet. */
  private static final Set<Integer> RETURNED_PORTS = ConcurrentHashMap.newKeySet();

  private Ports() {}

  /**
   * Returns a loopback address whose port could be bound just before, and which this process has
   * not returned before.
   *
   * @throws IllegalStateException if no free port is found
   */
  public static NodeAddress free() {
    for (int count = 0; count < MAX_TRIES; count++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT_EXCLUSIVE);
      if (isFree(port) && RETURNED_PORTS.add(port)) {
        return new NodeAddress(LOOPBACK, port);
      }
    }
    throw new IllegalStateException(
        "no free port on loopback after %d tries in [%d, %d)"
            .formatted(MAX_TRIES, FIRST_PORT, END_PORT_EXCLUSIVE));
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
      return socket.isBound();
    } catch (IOException taken) {
      // The caller tries another port.
      return false;
    }
  }
}
