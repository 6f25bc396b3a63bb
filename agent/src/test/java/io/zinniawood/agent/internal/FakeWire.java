package io.zinniawood.agent.internal;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.wire.WireConnection;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.WireListener;
import io.zinniawood.wire.WirePeer;
import io.zinniawood.wire.WireTransport;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Wire transport whose connections are opened and closed by the test. */
final class FakeWire implements WireTransport {
  final List<CompletableFuture<Either<WireError, WireConnection>>> connects = new ArrayList<>();

  static final class Connection implements WireConnection {
    final List<Message> sent = new ArrayList<>();

    private final WirePeer peer;

    Connection(String node, long incarnation) {
      peer =
          new WirePeer(
              node,
              node.startsWith("entry") ? VmRole.ENTRY : VmRole.ENDPOINT,
              new Incarnation(incarnation),
              new DataCentreId("helsinki-a"),
              Option.none());
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
    public void close() {}
  }

  @Override
  public Either<WireError, NodeAddress> listen(NodeAddress address, WireListener listener) {
    return Either.right(address);
  }

  @Override
  public CompletableFuture<Either<WireError, WireConnection>> connect(
      NodeAddress address, WireListener listener) {
    CompletableFuture<Either<WireError, WireConnection>> opening = new CompletableFuture<>();
    connects.add(opening);
    return opening;
  }

  @Override
  public void close() {}
}
