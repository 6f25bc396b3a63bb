package io.zinniawood.entry.internal.link;

import io.vavr.control.Option;
import io.zinniawood.core.entry.DisconnectReason;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.entry.internal.Completions;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.WireTransport;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Connections to agents, at most one per endpoint. Used on the event-loop thread only. */
public final class AgentLinks {
  /** Covers connect, handshake and the first status, which a busy agent may send with a delay. */
  private static final long OPEN_TIMEOUT_MILLIS = 3_000;

  private final WireTransport transport;
  private final Consumer<EntryEvent> events;
  private final PeerMessageHandler peerMessages;
  private final Executor openTimeoutExecutor =
      CompletableFuture.delayedExecutor(OPEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  private final Map<EndpointId, AgentLink> links = new HashMap<>();

  /**
   * Creates an empty set of connections.
   *
   * @param transport transport to the agents
   * @param events receives the events of the connections
   * @param peerMessages handles the messages that are not specific to agents
   */
  public AgentLinks(
      WireTransport transport, Consumer<EntryEvent> events, PeerMessageHandler peerMessages) {
    this.transport = transport;
    this.events = events;
    this.peerMessages = peerMessages;
  }

  /** Opens a connection, after closing an older one to the same endpoint. */
  public void connect(EndpointId endpoint, NodeAddress address) {
    AgentLink link = new AgentLink(endpoint, events, peerMessages);
    links.values().removeIf(AgentLink::isEnded);
    Option.of(links.put(endpoint, link)).forEach(AgentLink::replace);
    openTimeoutExecutor.execute(link::endIfConnecting);
    Completions.handle(
        transport.connect(address, link),
        failure -> new WireError("connecting threw an exception: " + failure),
        result -> {
          if (result.isLeft()) {
            link.endIfConnecting();
          }
        });
  }

  /** Closes the connection to an endpoint, if there is one. */
  public void disconnect(EndpointId endpoint) {
    AgentLink link = links.remove(endpoint);
    if (link != null) {
      link.end(DisconnectReason.CLOSED);
    }
  }

  /** Sends a message; drops it if this incarnation of the agent is not connected. */
  public void send(EndpointId endpoint, Incarnation incarnation, Message message) {
    AgentLink link = links.get(endpoint);
    if (link != null) {
      link.send(incarnation, message);
    }
  }
}
