package io.zinniawood.entry.internal.link;

import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message;
import io.zinniawood.wire.WireConnection;

/** Handles the messages that every process may send, and the generation of each message. */
@FunctionalInterface
public interface PeerMessageHandler {
  /**
   * Handles a message if its type is not specific to one role.
   *
   * @return whether the message was handled
   */
  boolean handle(WireConnection sender, Message message, Generation peerGeneration);
}
