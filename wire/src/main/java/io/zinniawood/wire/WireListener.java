package io.zinniawood.wire;

import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message;

/** Receives the events of connections. Called on an I/O thread; must not block. */
public interface WireListener {
  /** The handshake is complete. */
  void onOpened(WireConnection connection);

  /**
   * A message arrived.
   *
   * @param connection connection
   * @param message the message
   * @param peerGeneration generation of the configuration that the other process has
   */
  void onMessage(WireConnection connection, Message message, Generation peerGeneration);

  /** The connection ended after its handshake; called once. */
  void onClosed(WireConnection connection, CloseReason reason);

  /** Reason why a connection ended. */
  enum CloseReason {
    /** Closed or reset by either side. */
    CLOSED,
    /** Acknowledged probes timed out. */
    SILENT,
    /** The other process sent an invalid frame. */
    PROTOCOL_ERROR
  }
}
