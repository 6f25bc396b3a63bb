package io.zinniawood.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.VmRole;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class NettyWireTransportTest {
  private static final long WAIT_SECONDS = 20;
  private static final long MEMORY_BYTES = 16 * 1024 * 1024;

  private final WireTransport server = createTransport("server");
  private final WireTransport client = createTransport("client");

  private static WireTransport createTransport(String nodeId) {
    WirePeer self =
        new WirePeer(
            nodeId, VmRole.ENTRY, new Incarnation(1), new DataCentreId("tampere"), Option.none());
    return WireTransports.overTcp(
            self, () -> new Generation(3), WireTiming.defaults(), Option.none(), MEMORY_BYTES, 1)
        .get();
  }

  private static NodeAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new NodeAddress("127.0.0.1", socket.getLocalPort());
    }
  }

  @AfterEach
  void closeTransports() {
    client.close();
    server.close();
  }

  // Messages must not be lost or reordered, and the sender's generation must be passed on.
  @Test
  void messagesArriveInOrderWithTheGeneration() throws Exception {
    EventRecorder received = new EventRecorder();
    NodeAddress address = freeAddress();
    server.listen(address, received).get();
    WireConnection connection =
        client.connect(address, new EventRecorder()).get(WAIT_SECONDS, TimeUnit.SECONDS).get();
    assertThat(connection.peer().nodeId(), is("server"));
    for (int i = 0; i < 1_000; i++) {
      connection.send(new Message.CloseSession(new SessionId("s-" + i)));
    }
    for (int i = 0; i < 1_000; i++) {
      assertThat(
          received.events.poll(WAIT_SECONDS, TimeUnit.SECONDS),
          equalTo("3 " + new Message.CloseSession(new SessionId("s-" + i))));
    }
  }

  // Connecting to a port without a listener must neither hang nor throw.
  @Test
  void refusedConnectionGivesTypedError() throws Exception {
    Either<WireError, WireConnection> result =
        client.connect(freeAddress(), new EventRecorder()).get(WAIT_SECONDS, TimeUnit.SECONDS);
    assertThat(result.getLeft().detail(), containsString("cannot connect to 127.0.0.1:"));
  }

  // A peer that uses another protocol must not be accepted as a node.
  @Test
  void invalidHandshakeGivesTypedError() throws Exception {
    try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      var result =
          client.connect(
              new NodeAddress("127.0.0.1", listening.getLocalPort()), new EventRecorder());
      try (Socket accepted = listening.accept()) {
        accepted.getOutputStream().write(new byte[] {0, 0, 0, 2, 8, 1});
        assertThat(
            result.get(WAIT_SECONDS, TimeUnit.SECONDS).getLeft().detail(),
            containsString("expected a handshake"));
      }
    }
  }

  // A connection must be closed if its peer stops responding without a TCP reset.
  @Test
  void unresponsiveConnectionIsClosedAsSilent() throws Exception {
    try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      EventRecorder events = new EventRecorder();
      var result = client.connect(new NodeAddress("127.0.0.1", listening.getLocalPort()), events);
      try (Socket accepted = listening.accept()) {
        echoHandshake(accepted);
        result.get(WAIT_SECONDS, TimeUnit.SECONDS).get();
        assertThat(events.events.poll(WAIT_SECONDS, TimeUnit.SECONDS), equalTo("closed SILENT"));
      }
    }
  }

  private static void echoHandshake(Socket accepted) throws IOException {
    InputStream in = accepted.getInputStream();
    byte[] length = in.readNBytes(4);
    byte[] hello = in.readNBytes(length[3] & 0xff);
    accepted.getOutputStream().write(length);
    accepted.getOutputStream().write(hello);
    accepted.getOutputStream().flush();
  }

  /** Records received messages and closed connections as text. */
  private static final class EventRecorder implements WireListener {
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    @Override
    public void onOpened(WireConnection connection) {}

    @Override
    public void onMessage(WireConnection connection, Message message, Generation generation) {
      events.add(generation + " " + message);
    }

    @Override
    public void onClosed(WireConnection connection, CloseReason reason) {
      events.add("closed " + reason);
    }
  }
}
