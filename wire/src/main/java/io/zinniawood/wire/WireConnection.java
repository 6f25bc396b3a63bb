package io.zinniawood.wire;

import io.zinniawood.core.message.Message;

/** Open connection to another process after its handshake. */
public interface WireConnection {
  /** Returns the identity of the other process. */
  WirePeer peer();

  /** Sends a message; messages keep their order. Does nothing on a closed connection. */
  void send(Message message);

  /** Closes the connection. */
  void close();
}
