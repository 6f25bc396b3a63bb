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

/** Connections to agents, at most one for each endpoint. Used on the event-loop thread only. */
public final class AgentLinks {
  /** An agent sends its status at once; this covers connect, handshake and a busy agent. */
  private static final long OPEN_TIMEOUT_MILLIS = 3_000;

  private final WireTransport wire;
  private final Consumer<EntryEvent> events;
  private final PeerMessages shared;
  private final Executor timeout =
      CompletableFuture.delayedExecutor(OPEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  private final Map<EndpointId, AgentLink> links = new HashMap<>();

  /**
   * Creates an empty set of connections.
   *
   * @param wire transport
   * @param events takes the events
   * @param shared handles the messages that any process may send
   */
  public AgentLinks(WireTransport wire, Consumer<EntryEvent> events, PeerMessages shared) {
    this.wire = wire;
    this.events = events;
    this.shared = shared;
  }

  /** Opens a connection; an older one to the same endpoint ends first. */
  public void connect(EndpointId endpoint, NodeAddress address) {
    AgentLink link = new AgentLink(endpoint, events, shared);
    links.values().removeIf(AgentLink::ended);
    Option.of(links.put(endpoint, link)).forEach(AgentLink::replace);
    timeout.execute(link::endIfConnecting);
    Completions.handle(
        wire.connect(address, link),
        failure -> new WireError("the wire failed: " + failure),
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

  /** Sends a message; drops it if that incarnation is not connected. */
  public void send(EndpointId endpoint, Incarnation incarnation, Message message) {
    AgentLink link = links.get(endpoint);
    if (link != null) {
      link.send(incarnation, message);
    }
  }
}
