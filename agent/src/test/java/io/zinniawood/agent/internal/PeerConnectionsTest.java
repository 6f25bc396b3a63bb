package io.zinniawood.agent.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.control.Either;
import io.zinniawood.core.agent.AgentEvent;
import io.zinniawood.core.agent.PeerId;
import io.zinniawood.core.agent.PeerRole;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.StageAddress;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.WireListener.CloseReason;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PeerConnectionsTest {
  private static final NodeAddress ADDRESS = new NodeAddress("127.0.0.2", 7000);
  private static final PeerId NEXT = new PeerId("e2", new Incarnation(2));
  private static final AgentEvent CONNECTED = new AgentEvent.PeerConnected(NEXT, PeerRole.AGENT);

  private final FakeWire wire = new FakeWire();
  private final List<AgentEvent> events = new ArrayList<>();
  private final PeerConnections connections = new PeerConnections(wire, events::add);

  private static Message message(int number) {
    return new Message.CloseSession(new SessionId("s" + number));
  }

  private void send(int number) {
    connections.sendToStage(
        new StageAddress(new EndpointId("e2"), NEXT.incarnation(), ADDRESS, new LayerRange(0, 1)),
        message(number));
  }

  private FakeWire.Connection open(int connect, long incarnation) {
    FakeWire.Connection connection = new FakeWire.Connection("e2", incarnation);
    connections.onOpened(connection);
    wire.connects.get(connect).complete(Either.right(connection));
    return connection;
  }

  // Guards against losing or reordering messages while the connection opens.
  @Test
  void messagesAreQueuedInOrderUntilTheConnectionOpens() {
    send(1);
    send(2);
    FakeWire.Connection connection = open(0, 2);
    send(3);
    assertThat(wire.connects.size(), equalTo(1));
    assertThat(connection.sent, equalTo(List.of(message(1), message(2), message(3))));
    assertThat(events, equalTo(List.of(CONNECTED)));
  }

  // Guards against one failure event for each queued message, and against never reconnecting.
  @Test
  void failedConnectIsReportedOnceAndRetriedWithTheNextMessage() {
    send(1);
    send(2);
    wire.connects.get(0).complete(Either.left(new WireError("refused")));
    assertThat(events, equalTo(List.of(new AgentEvent.PeerConnectFailed(ADDRESS))));
    send(3);
    assertThat(open(1, 2).sent, equalTo(List.of(message(3))));
  }

  // Guards against sending messages to a restarted agent, which does not know the session.
  @Test
  void connectionToAnotherIncarnationIsReportedAsFailed() {
    send(1);
    FakeWire.Connection connection = open(0, 3);
    assertThat(connection.sent, equalTo(List.of()));
    assertThat(events.get(events.size() - 1), equalTo(new AgentEvent.PeerConnectFailed(ADDRESS)));
  }

  // Guards against not reporting the loss of the outbound connection to the next stage because
  // the same agent also has an inbound connection to this one.
  @Test
  void closedOutboundConnectionIsReportedWhileAnInboundOneIsOpen() {
    connections.onOpened(new FakeWire.Connection("e2", 2));
    send(1);
    FakeWire.Connection outbound = open(0, 2);
    events.clear();
    connections.onClosed(outbound, CloseReason.SILENT);
    assertThat(events, equalTo(List.of(new AgentEvent.PeerDisconnected(NEXT), CONNECTED)));
    send(2);
    assertThat(wire.connects.size(), equalTo(2));
  }

  // Guards against sending replies on a silent connection after the entry opened a new one.
  @Test
  void repliesUseTheNewestConnection() {
    FakeWire.Connection silent = new FakeWire.Connection("entry-1", 1);
    FakeWire.Connection fresh = new FakeWire.Connection("entry-1", 1);
    connections.onOpened(silent);
    connections.onOpened(fresh);

    connections.send(new PeerId("entry-1", new Incarnation(1)), message(1));
    assertThat(silent.sent, equalTo(List.of()));
    assertThat(fresh.sent, equalTo(List.of(message(1))));
  }
}
