package io.zinniawood.relay.internal;

import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.PeerMessage;
import java.util.List;

/** Sends messages to other relays. */
@FunctionalInterface
public interface PeerSender {
  /** Sends a message to each of the addresses; it may get lost. */
  void send(List<NodeAddress> receivers, PeerMessage message);
}
