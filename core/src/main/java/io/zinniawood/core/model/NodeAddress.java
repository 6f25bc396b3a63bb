package io.zinniawood.core.model;

import java.util.Objects;

/**
 * Address of the port on which a node serves the protocol between the processes of the system.
 *
 * @param host IP address
 * @param port TCP port, 1 to 65535
 */
public record NodeAddress(String host, int port) {
  /** Checks the port. */
  public NodeAddress {
    Objects.requireNonNull(host, "host");
    if (port < 1 || port > 65_535) {
      throw new IllegalArgumentException("port must be 1 to 65535, but is " + port);
    }
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
