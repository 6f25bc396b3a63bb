package io.zinniawood.entry;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.AgentIdentity;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.wire.WireConnection;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.WireListener;
import io.zinniawood.wire.WirePeer;
import io.zinniawood.wire.WireTransport;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Wire transport whose remote ends the test controls. Connections succeed only to registered peers.
 */
final class FakeWire implements WireTransport {
  /** Open connection that records sent messages and lets the test deliver received ones. */
  static final class FakeConnection implements WireConnection {
    final WirePeer peer;
    final WireListener listener;
    final BlockingQueue<Message> sent = new LinkedBlockingQueue<>();

    FakeConnection(WirePeer peer, WireListener listener) {
      this.peer = peer;
      this.listener = listener;
    }

    @Override
    public WirePeer peer() {
      return peer;
    }

    @Override
    public void send(Message message) {
      sent.add(message);
    }

    @Override
    public void close() {
      listener.onClosed(this, WireListener.CloseReason.CLOSED);
    }

    void receive(Message message, long generation) {
      listener.onMessage(this, message, new Generation(generation));
    }
  }

  final Map<NodeAddress, WirePeer> peersByAddress = new ConcurrentHashMap<>();
  final BlockingQueue<FakeConnection> connections = new LinkedBlockingQueue<>();
  volatile Option<WireListener> inboundListener = Option.none();

  static WirePeer agent(String endpoint, long incarnation, NodeAddress address) {
    DataCentreId dataCentre = new DataCentreId("helsinki-a");
    Incarnation agentIncarnation = new Incarnation(incarnation);
    AgentIdentity identity =
        new AgentIdentity(
            new EndpointId(endpoint), agentIncarnation, dataCentre, new PoolId("p"), address);
    return new WirePeer(
        endpoint, VmRole.ENDPOINT, agentIncarnation, dataCentre, Option.some(identity));
  }

  static WirePeer entry(String vm) {
    DataCentreId dataCentre = new DataCentreId("helsinki-a");
    return new WirePeer(vm, VmRole.ENTRY, new Incarnation(1), dataCentre, Option.none());
  }

  FakeConnection accept(WirePeer peer) {
    FakeConnection connection = new FakeConnection(peer, inboundListener.get());
    connection.listener.onOpened(connection);
    return connection;
  }

  @Override
  public Either<WireError, NodeAddress> listen(NodeAddress address, WireListener listener) {
    inboundListener = Option.some(listener);
    return Either.right(address);
  }

  @Override
  public CompletableFuture<Either<WireError, WireConnection>> connect(
      NodeAddress address, WireListener listener) {
    WirePeer peer = peersByAddress.get(address);
    if (peer == null) {
      return CompletableFuture.completedFuture(Either.left(new WireError("refused")));
    }
    FakeConnection connection = new FakeConnection(peer, listener);
    listener.onOpened(connection);
    connections.add(connection);
    return CompletableFuture.completedFuture(Either.right(connection));
  }

  @Override
  public void close() {
    connections.clear();
  }
}
