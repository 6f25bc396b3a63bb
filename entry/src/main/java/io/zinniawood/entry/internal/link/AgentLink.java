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
 * One connection to an agent, from the connect attempt until it is closed. Posts either
 * AgentConnected, the messages of the agent and AgentDisconnected, in this order, or only
 * AgentConnectFailed. Posts nothing if it is replaced while it is connecting.
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

  AgentLink(EndpointId endpoint, Consumer<EntryEvent> events, PeerMessageHandler peerMessages) {
    this.endpoint = endpoint;
    this.events = events;
    this.peerMessages = peerMessages;
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
      // The address now belongs to another endpoint, whose messages must not be attributed to
      // this endpoint.
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

  /** Closes the connection and posts its final event; does nothing if already ended. */
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
   * Ends this link because a newer one replaces it. A link that is still connecting ends without an
   * event, as the newer link posts the events of the endpoint.
   */
  synchronized void replace() {
    if (phase == Phase.CONNECTING) {
      phase = Phase.ENDED;
      connection.forEach(WireConnection::close);
    } else {
      end(DisconnectReason.CLOSED);
    }
  }

  /** Ends the link if it is still connecting. */
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
