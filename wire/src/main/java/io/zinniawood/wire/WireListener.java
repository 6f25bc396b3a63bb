package io.zinniawood.wire;

import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message;

/**
 * Receives the events of connections. The methods are called on an I/O thread and must not block.
 */
public interface WireListener {
  /** The handshake is complete. */
  void onOpened(WireConnection connection);

  /**
   * A message arrived.
   *
   * @param peerGeneration configuration generation of the other process
   */
  void onMessage(WireConnection connection, Message message, Generation peerGeneration);

  /** The connection was closed after a complete handshake; called once for each connection. */
  void onClosed(WireConnection connection, CloseReason reason);

  /** Reason why a connection ended. */
  enum CloseReason {
    /** Closed or reset by either side. */
    CLOSED,
    /** A liveness probe was not acknowledged in time. */
    SILENT,
    /** The other process sent an invalid frame or message. */
    PROTOCOL_ERROR
  }
}
