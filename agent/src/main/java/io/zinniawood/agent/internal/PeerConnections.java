package io.zinniawood.agent.internal;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.agent.AgentEvent;
import io.zinniawood.core.agent.PeerId;
import io.zinniawood.core.agent.PeerRole;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.StageAddress;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.wire.WireConnection;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.WireListener;
import io.zinniawood.wire.WireTransport;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.Consumer;

/** Connections to entries and other agents. Methods may be called from any thread. */
public final class PeerConnections implements WireListener, AutoCloseable {
  private static final Logger LOGGER = System.getLogger(PeerConnections.class.getName());

  /** Bounds the messages that wait for one connection; a session has one or two. */
  private static final int MAX_WAITING = 1_024;

  private final WireTransport wire;
  private final Consumer<AgentEvent> events;
  private Map<PeerId, Vector<WireConnection>> connections = HashMap.empty();
  private Map<NodeAddress, WireConnection> outbound = HashMap.empty();
  private Map<NodeAddress, Vector<Waiting>> opening = HashMap.empty();
  private boolean closed;

  private record Waiting(Option<PeerId> receiver, Message message) {}

  /** Creates connections that post to the given consumer. */
  public PeerConnections(WireTransport wire, Consumer<AgentEvent> events) {
    this.wire = wire;
    this.events = events;
  }

  private static PeerId id(WireConnection connection) {
    return new PeerId(connection.peer().nodeId(), connection.peer().incarnation());
  }

  private static boolean entry(WireConnection connection) {
    return connection.peer().role() == VmRole.ENTRY;
  }

  /** Sends on the newest connection of a process, as an older one may be silent. */
  public void send(PeerId peer, Message message) {
    Option<WireConnection> newest;
    synchronized (this) {
      newest = connections.get(peer).flatMap(Vector::lastOption);
    }
    if (newest.isEmpty()) {
      LOGGER.log(Level.DEBUG, "message to {0} dropped: not connected", peer.nodeId());
    }
    newest.forEach(connection -> connection.send(message));
  }

  /** Sends to a stage if the agent at its address is the incarnation that the chain names. */
  public void sendToStage(StageAddress stage, Message message) {
    PeerId receiver = new PeerId(stage.endpoint().value(), stage.incarnation());
    sendOutbound(stage.address(), new Waiting(Option.some(receiver), message));
  }

  /** Sends to the agent at an address. */
  public void sendToAddress(NodeAddress address, Message message) {
    sendOutbound(address, new Waiting(Option.none(), message));
  }

  private void sendOutbound(NodeAddress address, Waiting waiting) {
    Option<WireConnection> open;
    synchronized (this) {
      open = outbound.get(address);
      if (open.isEmpty()) {
        Option<Vector<Waiting>> queue = opening.get(address);
        Vector<Waiting> queued = queue.getOrElse(Vector.empty());
        if (!closed && queued.size() < MAX_WAITING) {
          opening = opening.put(address, queued.append(waiting));
        }
        if (queue.isDefined() || closed) {
          return;
        }
      }
    }
    if (open.isDefined()) {
      deliver(address, open.get(), waiting);
    } else {
      connect(address);
    }
  }

  private void connect(NodeAddress address) {
    Calls.deliver(
        Calls.<WireError, WireConnection>guarded(
            () -> wire.connect(address, this), fault -> new WireError(fault.toString())),
        result -> connected(address, result));
  }

  private void connected(NodeAddress address, Either<WireError, WireConnection> result) {
    Vector<Waiting> waiting;
    boolean open;
    synchronized (this) {
      open = result.exists(c -> connections.get(id(c)).exists(known -> known.contains(c)));
      waiting = opening.getOrElse(address, Vector.empty());
      opening = opening.remove(address);
      if (open) {
        outbound = outbound.put(address, result.get());
        // Sent under the lock, so that a message of another thread cannot overtake these.
        waiting.forEach(w -> deliver(address, result.get(), w));
      }
    }
    if (!open) {
      LOGGER.log(
          Level.INFO,
          "no connection to {0}: {1}",
          address,
          result.isLeft() ? result.getLeft().detail() : "closed after the handshake");
      events.accept(new AgentEvent.PeerConnectFailed(address));
    }
  }

  private void deliver(NodeAddress address, WireConnection connection, Waiting waiting) {
    if (waiting.receiver().exists(receiver -> !receiver.equals(id(connection)))) {
      LOGGER.log(Level.INFO, "agent at {0} is another incarnation than the chain names", address);
      events.accept(new AgentEvent.PeerConnectFailed(address));
      return;
    }
    connection.send(waiting.message());
  }

  @Override
  public void onOpened(WireConnection connection) {
    PeerId peer = id(connection);
    synchronized (this) {
      connections =
          connections.put(peer, connections.getOrElse(peer, Vector.empty()).append(connection));
    }
    events.accept(
        new AgentEvent.PeerConnected(peer, entry(connection) ? PeerRole.ENTRY : PeerRole.AGENT));
  }

  @Override
  public void onMessage(WireConnection connection, Message message, Generation peerGeneration) {
    events.accept(new AgentEvent.MessageReceived(id(connection), message));
  }

  @Override
  public void onClosed(WireConnection connection, CloseReason reason) {
    PeerId peer = id(connection);
    boolean wasOutbound;
    Vector<WireConnection> left;
    synchronized (this) {
      left = connections.getOrElse(peer, Vector.empty()).reject(other -> other.equals(connection));
      connections = left.isEmpty() ? connections.remove(peer) : connections.put(peer, left);
      int before = outbound.size();
      outbound = outbound.rejectValues(other -> other.equals(connection));
      wasOutbound = outbound.size() < before;
    }
    LOGGER.log(Level.INFO, "connection to {0} ended: {1}", peer.nodeId(), reason);
    if (left.isEmpty() || wasOutbound) {
      events.accept(new AgentEvent.PeerDisconnected(peer));
    }
    if (!left.isEmpty() && wasOutbound) {
      events.accept(
          new AgentEvent.PeerConnected(peer, entry(connection) ? PeerRole.ENTRY : PeerRole.AGENT));
    }
  }

  /** Drops messages that wait for a connection; the wire closes the connections. */
  @Override
  public synchronized void close() {
    closed = true;
    opening = HashMap.empty();
  }
}
