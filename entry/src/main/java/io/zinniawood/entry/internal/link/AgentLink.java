package io.zinniawood.entry.internal.link;

import io.vavr.control.Option;
import io.zinniawood.core.entry.DisconnectReason;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.AgentIdentity;
import io.zinniawood.wire.WireConnection;
import io.zinniawood.wire.WireListener;
import java.util.function.Consumer;

/**
 * One connection to an agent, from the attempt to its end. Posts in order at most one
 * AgentConnected, its messages, and one AgentDisconnected; or one AgentConnectFailed.
 */
final class AgentLink implements WireListener {
  private enum Phase {
    CONNECTING,
    OPEN,
    ENDED
  }

  private final EndpointId endpoint;
  private final Consumer<EntryEvent> events;
  private final PeerMessageHandler peerMessages;
  private Phase phase = Phase.CONNECTING;
  private Option<WireConnection> connection = Option.none();
  private Option<AgentIdentity> identity = Option.none();

  AgentLink(EndpointId endpoint, Consumer<EntryEvent> events, PeerMessageHandler shared) {
    this.endpoint = endpoint;
    this.events = events;
    this.peerMessages = shared;
  }

  @Override
  public synchronized void onOpened(WireConnection opened) {
    connection = Option.some(opened);
    if (phase == Phase.ENDED) {
      opened.close();
      return;
    }
    identity = opened.peer().agent();
    if (!identity.exists(agent -> agent.endpoint().equals(endpoint))) {
      // Another process took over the address; its work belongs to another endpoint.
      end(DisconnectReason.CLOSED);
    }
  }

  @Override
  public void onMessage(WireConnection sender, Message message, Generation peerGeneration) {
    synchronized (this) {
      if (phase == Phase.ENDED) {
        return;
      }
      if (phase == Phase.CONNECTING) {
        handleFirstMessage(message);
        return;
      }
    }
    if (!peerMessages.handle(sender, message, peerGeneration)) {
      events.accept(
          new EntryEvent.AgentMessageReceived(endpoint, identity.get().incarnation(), message));
    }
  }

  private void handleFirstMessage(Message message) {
    if (message instanceof Message.Status status && identity.isDefined()) {
      phase = Phase.OPEN;
      events.accept(new EntryEvent.AgentConnected(identity.get(), status));
    } else {
      end(DisconnectReason.CLOSED);
    }
  }

  @Override
  public void onClosed(WireConnection closed, CloseReason reason) {
    end(reason == CloseReason.SILENT ? DisconnectReason.SILENT : DisconnectReason.CLOSED);
  }

  /** Ends the link and posts the event of the end, once. */
  synchronized void end(DisconnectReason reason) {
    if (phase == Phase.ENDED) {
      return;
    }
    if (phase == Phase.OPEN) {
      events.accept(
          new EntryEvent.AgentDisconnected(endpoint, identity.get().incarnation(), reason));
    } else {
      events.accept(new EntryEvent.AgentConnectFailed(endpoint));
    }
    phase = Phase.ENDED;
    connection.forEach(WireConnection::close);
  }

  /**
   * Ends the link because a newer one replaces it. A link that is not open yet ends without an
   * event; the newer one reports for both.
   */
  synchronized void replace() {
    if (phase == Phase.CONNECTING) {
      phase = Phase.ENDED;
      connection.forEach(WireConnection::close);
    } else {
      end(DisconnectReason.CLOSED);
    }
  }

  /** Ends the link if it is not open yet. */
  synchronized void endIfConnecting() {
    if (phase == Phase.CONNECTING) {
      end(DisconnectReason.CLOSED);
    }
  }

  synchronized void send(Incarnation incarnation, Message message) {
    if (phase == Phase.OPEN && identity.exists(agent -> agent.incarnation().equals(incarnation))) {
      connection.forEach(open -> open.send(message));
    }
  }

  synchronized boolean isEnded() {
    return phase == Phase.ENDED;
  }
}
