package io.zinniawood.wire;

import io.zinniawood.core.message.Message;

/** Connection to another process whose handshake is complete. */
public interface WireConnection {
  /** Returns the identity of the other process. */
  WirePeer peer();

  /** Sends a message; the order of messages is preserved. Does nothing on a closed connection. */
  void send(Message message);

  /** Closes the connection. */
  void close();
}
