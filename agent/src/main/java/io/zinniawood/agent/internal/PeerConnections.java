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

  /** Maximum number of messages queued while one connection opens; a session queues one or two. */
  private static final int MAX_QUEUED_MESSAGES = 1_024;

  private final WireTransport transport;
  private final Consumer<AgentEvent> events;
  private Map<PeerId, Vector<WireConnection>> connectionsByPeer = HashMap.empty();
  private Map<NodeAddress, WireConnection> outboundByAddress = HashMap.empty();
  private Map<NodeAddress, Vector<QueuedMessage>> queuedByAddress = HashMap.empty();
  private boolean closed;

  private record QueuedMessage(Option<PeerId> receiver, Message message) {}

  /** Creates an instance without connections that posts events to the given consumer. */
  public PeerConnections(WireTransport transport, Consumer<AgentEvent> events) {
    this.transport = transport;
    this.events = events;
  }

  private static PeerId peerId(WireConnection connection) {
    return new PeerId(connection.peer().nodeId(), connection.peer().incarnation());
  }

  private static boolean isEntry(WireConnection connection) {
    return connection.peer().role() == VmRole.ENTRY;
  }

  /** Sends on the newest connection to a peer, as an older one may no longer deliver data. */
  public void send(PeerId peer, Message message) {
    Option<WireConnection> newest;
    synchronized (this) {
      newest = connectionsByPeer.get(peer).flatMap(Vector::lastOption);
    }
    if (newest.isEmpty()) {
      LOGGER.log(Level.DEBUG, "message to {0} dropped: no open connection", peer.nodeId());
    }
    newest.forEach(connection -> connection.send(message));
  }

  /** Sends to a stage if the agent at its address has the incarnation given in the chain. */
  public void sendToStage(StageAddress stage, Message message) {
    PeerId receiver = new PeerId(stage.endpoint().value(), stage.incarnation());
    sendOutbound(stage.address(), new QueuedMessage(Option.some(receiver), message));
  }

  /** Sends to the agent at an address, whatever its incarnation. */
  public void sendToAddress(NodeAddress address, Message message) {
    sendOutbound(address, new QueuedMessage(Option.none(), message));
  }

  private void sendOutbound(NodeAddress address, QueuedMessage message) {
    Option<WireConnection> open;
    synchronized (this) {
      open = outboundByAddress.get(address);
      if (open.isEmpty()) {
        Option<Vector<QueuedMessage>> queue = queuedByAddress.get(address);
        Vector<QueuedMessage> queued = queue.getOrElse(Vector.empty());
        if (!closed && queued.size() < MAX_QUEUED_MESSAGES) {
          queuedByAddress = queuedByAddress.put(address, queued.append(message));
        }
        if (queue.isDefined() || closed) {
          return;
        }
      }
    }
    if (open.isDefined()) {
      sendIfReceiverMatches(address, open.get(), message);
    } else {
      connect(address);
    }
  }

  private void connect(NodeAddress address) {
    GuardedCalls.deliver(
        GuardedCalls.<WireError, WireConnection>guarded(
            () -> transport.connect(address, this),
            exception -> new WireError(exception.toString())),
        result -> onConnectResult(address, result));
  }

  private void onConnectResult(NodeAddress address, Either<WireError, WireConnection> result) {
    Vector<QueuedMessage> queued;
    boolean open;
    synchronized (this) {
      open =
          result.exists(c -> connectionsByPeer.get(peerId(c)).exists(known -> known.contains(c)));
      queued = queuedByAddress.getOrElse(address, Vector.empty());
      queuedByAddress = queuedByAddress.remove(address);
      if (open) {
        outboundByAddress = outboundByAddress.put(address, result.get());
        // Sent under the lock, so that messages of other threads are not sent before these.
        queued.forEach(m -> sendIfReceiverMatches(address, result.get(), m));
      }
    }
    if (!open) {
      LOGGER.log(
          Level.INFO,
          "cannot connect to {0}: {1}",
          address,
          result.isLeft() ? result.getLeft().detail() : "connection closed after the handshake");
      events.accept(new AgentEvent.PeerConnectFailed(address));
    }
  }

  private void sendIfReceiverMatches(
      NodeAddress address, WireConnection connection, QueuedMessage message) {
    if (message.receiver().exists(receiver -> !receiver.equals(peerId(connection)))) {
      LOGGER.log(
          Level.INFO, "agent at {0} has another incarnation than the chain expects", address);
      events.accept(new AgentEvent.PeerConnectFailed(address));
      return;
    }
    connection.send(message.message());
  }

  @Override
  public void onOpened(WireConnection connection) {
    PeerId peer = peerId(connection);
    synchronized (this) {
      connectionsByPeer =
          connectionsByPeer.put(
              peer, connectionsByPeer.getOrElse(peer, Vector.empty()).append(connection));
    }
    events.accept(
        new AgentEvent.PeerConnected(peer, isEntry(connection) ? PeerRole.ENTRY : PeerRole.AGENT));
  }

  @Override
  public void onMessage(WireConnection connection, Message message, Generation peerGeneration) {
    events.accept(new AgentEvent.MessageReceived(peerId(connection), message));
  }

  @Override
  public void onClosed(WireConnection connection, CloseReason reason) {
    PeerId peer = peerId(connection);
    boolean wasOutbound;
    Vector<WireConnection> remaining;
    synchronized (this) {
      remaining =
          connectionsByPeer
              .getOrElse(peer, Vector.empty())
              .reject(other -> other.equals(connection));
      connectionsByPeer =
          remaining.isEmpty()
              ? connectionsByPeer.remove(peer)
              : connectionsByPeer.put(peer, remaining);
      int before = outboundByAddress.size();
      outboundByAddress = outboundByAddress.rejectValues(other -> other.equals(connection));
      wasOutbound = outboundByAddress.size() < before;
    }
    LOGGER.log(Level.INFO, "connection to {0} closed: {1}", peer.nodeId(), reason);
    if (remaining.isEmpty() || wasOutbound) {
      events.accept(new AgentEvent.PeerDisconnected(peer));
    }
    if (!remaining.isEmpty() && wasOutbound) {
      events.accept(
          new AgentEvent.PeerConnected(
              peer, isEntry(connection) ? PeerRole.ENTRY : PeerRole.AGENT));
    }
  }

  /** Drops the queued messages; the transport closes the connections. */
  @Override
  public synchronized void close() {
    closed = true;
    queuedByAddress = HashMap.empty();
  }
}
