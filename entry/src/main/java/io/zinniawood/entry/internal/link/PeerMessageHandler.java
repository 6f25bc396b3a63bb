package io.zinniawood.entry.internal.link;

import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message;
import io.zinniawood.wire.WireConnection;

/** Handles messages that are not specific to one role, and the generation of every message. */
@FunctionalInterface
public interface PeerMessageHandler {
  /**
   * Handles a message if its type is not specific to one role.
   *
   * @return whether the message was handled; if false, the caller must process it
   */
  boolean handle(WireConnection sender, Message message, Generation peerGeneration);
}
