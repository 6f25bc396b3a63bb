package io.zinniawood.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.agent.internal.FakeTable;
import io.zinniawood.config.settings.AgentSettings;
import io.zinniawood.config.settings.BackendSettings;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.IdempotencyKey;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.AgentIdentity;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.core.model.ServingState;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.engine.EngineError;
import io.zinniawood.engine.PlainServiceClient;
import io.zinniawood.platform.claim.ClaimRowCodec;
import io.zinniawood.wire.Wire;
import io.zinniawood.wire.WireConnection;
import io.zinniawood.wire.WireListener;
import io.zinniawood.wire.WirePeer;
import io.zinniawood.wire.WireTiming;
import io.zinniawood.wire.Wires;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AgentProcessTest {
  private static final ServiceName SERVICE = new ServiceName("credit");
  private static final Incarnation RUN = new Incarnation(7);
  private static final DataCentreId DATA_CENTRE = new DataCentreId("helsinki-a");
  private static final ServiceAnswer ANSWER =
      new ServiceAnswer(201, Vector.empty(), Payload.ofText("booked"));
  private static final long WAIT_SECONDS = 20;

  private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
  private final BlockingQueue<CompletableFuture<Either<EngineError, ServiceAnswer>>> calls =
      new LinkedBlockingQueue<>();
  private AgentProcess agent;
  private Wire entry;
  private WireConnection connection;

  private static Wire wire(String node, VmRole role, Option<AgentIdentity> identity) {
    return Wires.overTcp(
            new WirePeer(node, role, RUN, DATA_CENTRE, identity),
            () -> new Generation(0),
            WireTiming.defaults(),
            Option.none(),
            1)
        .get();
  }

  private final class Service implements PlainServiceClient {
    @Override
    public CompletableFuture<Either<EngineError, ServiceAnswer>> call(
        ServiceCall call, long timeoutMillis) {
      CompletableFuture<Either<EngineError, ServiceAnswer>> answer = new CompletableFuture<>();
      calls.add(answer);
      return answer;
    }

    @Override
    public CompletableFuture<Either<EngineError, Boolean>> healthy() {
      return CompletableFuture.completedFuture(Either.right(true));
    }
  }

  private final class Listener implements WireListener {
    @Override
    public void onOpened(WireConnection opened) {}

    @Override
    public void onMessage(WireConnection from, Message message, Generation peerGeneration) {
      received.add(message);
    }

    @Override
    public void onClosed(WireConnection closed, CloseReason reason) {}
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  @BeforeEach
  void startAgentAndConnect() throws Exception {
    NodeAddress address = new NodeAddress("127.0.0.1", freePort());
    EndpointId endpoint = new EndpointId("e1");
    PoolId pool = new PoolId("credit");
    URI unused = URI.create("http://127.0.0.1:1");
    AgentSettings settings =
        new AgentSettings(
            endpoint,
            DATA_CENTRE,
            pool,
            address,
            unused,
            new BackendSettings.Service(unused, SERVICE, 2),
            0,
            Option.none());
    AgentIdentity identity = new AgentIdentity(endpoint, RUN, DATA_CENTRE, pool, address);
    agent =
        new AgentProcess(
            new AgentDependencies(
                settings,
                RUN,
                1,
                wire("e1", VmRole.ENDPOINT, Option.some(identity)),
                new FakeTable(),
                new ClaimRowCodec(),
                new Backend.Service(new Service(), SERVICE, 2),
                System::nanoTime));
    assertThat(agent.start(), equalTo(Either.right(address)));
    entry = wire("entry-1", VmRole.ENTRY, Option.none());
    connection = entry.connect(address, new Listener()).get(WAIT_SECONDS, TimeUnit.SECONDS).get();
  }

  @AfterEach
  void close() {
    entry.close();
    agent.close();
  }

  private Message next() throws InterruptedException {
    Message message = received.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    // The load in a status depends on when the status timer fires.
    return message instanceof Message.Status status && status.state() == ServingState.SERVING
        ? next()
        : message;
  }

  private static Message.Dispatch dispatch(String attempt) {
    return new Message.Dispatch(
        new RequestId("r-" + attempt),
        new AttemptId(attempt),
        RUN,
        new ClientAccountId("kiosk"),
        SERVICE,
        new ServiceCall("POST", "/credits", Vector.empty(), Payload.ofText("5 euro")),
        Idempotency.NON_IDEMPOTENT,
        Option.some(new IdempotencyKey("k")),
        new Fence(0),
        60_000,
        1);
  }

  // Guards against a process that does not carry out the decisions: claim, call, answer, kept
  // answer of the key, drain that waits for the running call.
  @Test
  void keyedCallRunsOnceAndDrainWaitsForIt() throws Exception {
    Message first = received.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    assertThat(first, instanceOf(Message.Status.class));
    connection.send(dispatch("a1"));
    CompletableFuture<Either<EngineError, ServiceAnswer>> call =
        calls.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    CompletableFuture<Boolean> drained = agent.drain();
    Message.Status leaving = (Message.Status) next();
    assertThat(leaving.state(), equalTo(ServingState.LEAVING));
    assertThat(drained.isDone(), equalTo(false));
    call.complete(Either.right(ANSWER));
    assertThat(((Message.DispatchReply) next()).answer(), equalTo(ANSWER));
    assertThat(drained.get(WAIT_SECONDS, TimeUnit.SECONDS), equalTo(true));
    connection.send(dispatch("a1"));
    assertThat(((Message.DispatchReply) next()).answer(), equalTo(ANSWER));
    assertThat(calls.isEmpty(), equalTo(true));
  }
}
