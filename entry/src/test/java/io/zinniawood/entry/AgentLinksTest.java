package io.zinniawood.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;

import io.vavr.collection.Vector;
import io.zinniawood.core.entry.DisconnectReason;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.ServingState;
import io.zinniawood.wire.WireListener;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

// Ends a test that hangs; no assertion depends on this time.
@Timeout(60)
class AgentLinksTest {
  private static final EndpointId ENDPOINT = new EndpointId("e1");
  private static final NodeAddress ADDRESS = new NodeAddress("127.0.0.1", 9_001);
  private static final Message STATUS =
      new Message.Status(
          ServingState.SERVING,
          new Capability.PlainService(new ServiceName("credit"), 4),
          LoadReport.idle(4));
  private static final Message CANCEL =
      new Message.CancelDispatch(new RequestId("r"), new AttemptId("a"));

  private EntryHarness entry;

  @BeforeEach
  void start() {
    entry = new EntryHarness(new FakePlatform(), AgentLinksTest::script).awaitReady();
  }

  // A model request connects the agent, or disconnects it if its prompt contains "leave". Each
  // message from the agent makes the entry send a cancel to incarnations 1 and 2.
  private static Vector<EntryEffect> script(EntryEvent event) {
    if (event instanceof EntryEvent.ModelRequestArrived arrived) {
      return Vector.of(
          arrived.prompt().text().contains("leave")
              ? new EntryEffect.DisconnectAgent(ENDPOINT)
              : new EntryEffect.ConnectAgent(ENDPOINT, ADDRESS));
    }
    if (event instanceof EntryEvent.AgentMessageReceived) {
      return Vector.of(
          new EntryEffect.SendToAgent(ENDPOINT, new Incarnation(1), CANCEL),
          new EntryEffect.SendToAgent(ENDPOINT, new Incarnation(2), CANCEL));
    }
    return Vector.empty();
  }

  @AfterEach
  void stop() {
    entry.close();
  }

  private void sendPrompt(String prompt) {
    String body = "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}";
    CompletableFuture<?> unused =
        entry.client.sendAsync(
            entry
                .request("/v1/chat/completions")
                .POST(HttpRequest.BodyPublishers.ofString(body.formatted(prompt)))
                .build(),
            HttpResponse.BodyHandlers.discarding());
  }

  private FakeWire.FakeConnection connect(String endpoint, long incarnation)
      throws InterruptedException {
    entry.wire.peersByAddress.put(ADDRESS, FakeWire.agent(endpoint, incarnation, ADDRESS));
    sendPrompt("connect");
    return entry.wire.connections.take();
  }

  // Guards against messages for an old incarnation that are sent to the restarted agent.
  @Test
  void sendsOnlyToTheConnectedIncarnation() throws InterruptedException {
    FakeWire.FakeConnection connection = connect("e1", 2);
    connection.receive(STATUS, 1);
    EntryEvent.AgentConnected connected = entry.awaitEvent(EntryEvent.AgentConnected.class);
    assertThat(connected.identity().incarnation(), equalTo(new Incarnation(2)));
    connection.receive(
        new Message.CancelResult(new RequestId("r"), new AttemptId("a"), CancelOutcome.NOT_STARTED),
        1);
    assertThat(connection.sent.take(), equalTo(CANCEL));
    assertThat(connection.sent.isEmpty(), equalTo(true));
    connection.listener.onClosed(connection, WireListener.CloseReason.SILENT);
    EntryEvent.AgentDisconnected disconnected =
        entry.awaitEvent(EntryEvent.AgentDisconnected.class);
    assertThat(disconnected.reason(), equalTo(DisconnectReason.SILENT));
  }

  // Guards against treating the late close of an old connection as the close of its replacement.
  @Test
  void replacedConnectionEndsBeforeTheNewOneOpens() throws InterruptedException {
    FakeWire.FakeConnection old = connect("e1", 1);
    old.receive(STATUS, 1);
    entry.awaitEvent(EntryEvent.AgentConnected.class);
    FakeWire.FakeConnection replacement = connect("e1", 1);
    replacement.receive(STATUS, 1);
    entry.awaitEvent(EntryEvent.AgentDisconnected.class);
    entry.awaitEvent(EntryEvent.AgentConnected.class);
    old.listener.onClosed(old, WireListener.CloseReason.SILENT);
    old.receive(STATUS, 1);
    sendPrompt("leave");
    EntryEvent.AgentDisconnected disconnected =
        entry.awaitEvent(EntryEvent.AgentDisconnected.class);
    assertThat(disconnected.reason(), equalTo(DisconnectReason.CLOSED));
  }

  // Guards against sending requests for an endpoint to another process that now uses its address.
  @Test
  void otherProcessAtTheAddressIsRefused() throws InterruptedException {
    connect("e2", 1).receive(STATUS, 1);
    assertThat(entry.awaitEvent(EntryEvent.AgentConnectFailed.class).endpoint(), equalTo(ENDPOINT));
    entry.wire.peersByAddress.clear();
    sendPrompt("connect");
    entry.awaitEvent(EntryEvent.AgentConnectFailed.class);
  }

  // Guards against an entry that keeps an old configuration while an agent has a newer one, and
  // against agents that cannot get the configuration from the entry.
  @Test
  void configurationPassesInBothDirections() throws InterruptedException {
    FakeWire.FakeConnection connection = connect("e1", 1);
    connection.receive(STATUS, 1);
    connection.receive(STATUS, 5);
    Message request = connection.sent.take();
    assertThat(request, equalTo(new Message.ConfigurationRequest(new Generation(1))));
    connection.receive(FakePlatform.snapshot(5), 5);
    EntryHarness.await(() -> entry.generation.get().value() == 5);
    connection.receive(FakePlatform.snapshot(4), 4);
    connection.receive(new Message.ConfigurationRequest(new Generation(3)), 3);
    Message answer = connection.sent.take();
    while (!(answer instanceof Message.ConfigurationSnapshot)) {
      answer = connection.sent.take();
    }
    assertThat(answer, instanceOf(Message.ConfigurationSnapshot.class));
    assertThat(entry.generation.get(), equalTo(new Generation(5)));
  }
}
