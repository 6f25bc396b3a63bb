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

/** Wire whose other ends are driven by the test. Connections succeed to registered peers only. */
final class FakeWire implements WireTransport {
  /** One open connection with its two ends. */
  static final class Link implements WireConnection {
    final WirePeer peer;
    final WireListener listener;
    final BlockingQueue<Message> sent = new LinkedBlockingQueue<>();

    Link(WirePeer peer, WireListener listener) {
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

  final Map<NodeAddress, WirePeer> peers = new ConcurrentHashMap<>();
  final BlockingQueue<Link> links = new LinkedBlockingQueue<>();
  volatile Option<WireListener> inbound = Option.none();

  static WirePeer agent(String endpoint, long incarnation, NodeAddress address) {
    DataCentreId dataCentre = new DataCentreId("helsinki-a");
    Incarnation run = new Incarnation(incarnation);
    AgentIdentity identity =
        new AgentIdentity(new EndpointId(endpoint), run, dataCentre, new PoolId("p"), address);
    return new WirePeer(endpoint, VmRole.ENDPOINT, run, dataCentre, Option.some(identity));
  }

  static WirePeer entry(String vm) {
    DataCentreId dataCentre = new DataCentreId("helsinki-a");
    return new WirePeer(vm, VmRole.ENTRY, new Incarnation(1), dataCentre, Option.none());
  }

  Link accept(WirePeer peer) {
    Link link = new Link(peer, inbound.get());
    link.listener.onOpened(link);
    return link;
  }

  @Override
  public Either<WireError, NodeAddress> listen(NodeAddress address, WireListener listener) {
    inbound = Option.some(listener);
    return Either.right(address);
  }

  @Override
  public CompletableFuture<Either<WireError, WireConnection>> connect(
      NodeAddress address, WireListener listener) {
    WirePeer peer = peers.get(address);
    if (peer == null) {
      return CompletableFuture.completedFuture(Either.left(new WireError("refused")));
    }
    Link link = new Link(peer, listener);
    listener.onOpened(link);
    links.add(link);
    return CompletableFuture.completedFuture(Either.right(link));
  }

  @Override
  public void close() {
    links.clear();
  }
}
