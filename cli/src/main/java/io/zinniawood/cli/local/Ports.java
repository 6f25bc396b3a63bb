package io.zinniawood.cli.local;

import io.zinniawood.core.model.NodeAddress;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds free ports on loopback. */
public final class Ports {
  private static final String LOOPBACK = "127.0.0.1";

  private Ports() {}

  /** Returns a loopback address whose port was free a moment ago. */
  public static NodeAddress free() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
      return new NodeAddress(LOOPBACK, socket.getLocalPort());
    } catch (IOException none) {
      throw new UncheckedIOException("no free port on loopback", none);
    }
  }
}
