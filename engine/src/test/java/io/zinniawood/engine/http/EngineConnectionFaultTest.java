package io.zinniawood.engine.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.HttpHeader;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.engine.EngineError;
import io.zinniawood.engine.ModelEngine.StepRequest;
import io.zinniawood.standin.engine.EngineFaults;
import io.zinniawood.standin.engine.EngineSettings;
import io.zinniawood.standin.engine.EngineStandIn;
import io.zinniawood.standin.engine.ModelParameters;
import io.zinniawood.standin.proxy.Direction;
import io.zinniawood.standin.proxy.FaultProxy;
import io.zinniawood.standin.proxy.NewConnectionPolicy;
import io.zinniawood.standin.service.ServiceFaults;
import io.zinniawood.standin.service.ServiceSettings;
import io.zinniawood.standin.service.ServiceStandIn;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EngineConnectionFaultTest {
  private final OkHttpClient client = new OkHttpClient();
  private final EngineStandIn engineStandIn =
      EngineStandIn.launch(EngineSettings.unlimited(new ModelParameters("m", "1", 4, 0), 0, 4));
  private final ServiceStandIn serviceStandIn = ServiceStandIn.launch(ServiceSettings.unlimited());
  private final FaultProxy engineProxy = FaultProxy.launch(engineStandIn.port());
  private final FaultProxy serviceProxy = FaultProxy.launch(serviceStandIn.port());
  private final HttpEngineSettings settings = new HttpEngineSettings(500, 700, 700, 700, 300, 16);
  private final HttpModelEngine engine = new HttpModelEngine(uri(engineProxy), client, settings);
  private final HttpPlainServiceClient service =
      new HttpPlainServiceClient(uri(serviceProxy), "/health", client, settings);

  @AfterEach
  void stop() {
    engineProxy.close();
    serviceProxy.close();
    engineStandIn.close();
    serviceStandIn.close();
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private static URI uri(FaultProxy proxy) {
    return URI.create("http://127.0.0.1:" + proxy.port());
  }

  private static <T> Either<EngineError, T> await(CompletableFuture<Either<EngineError, T>> future)
      throws Exception {
    return future.get(20, TimeUnit.SECONDS);
  }

  private static Vector<StepRequest> steps(int count) {
    return Vector.range(0, count)
        .map(
            position ->
                new StepRequest(
                    new SessionId("s"), position, Payload.ofText("x"), 50, Priority.NORMAL));
  }

  private static ServiceCall order(String reference) {
    return new ServiceCall(
        "POST",
        "/orders",
        Vector.of(new HttpHeader("Content-Type", "application/json")),
        Payload.ofText("{\"reference\":\"" + reference + "\"}"));
  }

  // Guards against treating an engine as failed when only a connection to it is unresponsive.
  @Test
  void unresponsiveConnectionsToEnginesAreReplacedAndStepsRunOnce() throws Exception {
    assertThat(await(engine.runSteps(steps(1))).isRight(), is(true));
    engineProxy.stopForwarding(Direction.TO_CLIENT);
    assertThat(
        await(engine.runSteps(steps(2).tail())).getLeft(),
        instanceOf(EngineError.ResponseLost.class));
    assertThat(await(engine.status()).isRight(), is(true));
    assertThat(engineStandIn.executedSteps(), is(2L));
  }

  // Guards against memory exhaustion by one response, and against reporting sent steps as not sent.
  @Test
  void oversizedAndLateResponsesAreReportedAsLost() throws Exception {
    EngineError large = await(engine.runSteps(steps(20))).getLeft();
    assertThat(large, instanceOf(EngineError.ResponseLost.class));
    assertThat(large.detail(), containsString("300 bytes"));
    engineStandIn.setFaults(EngineFaults.slow(1, 5_000));
    assertThat(
        await(engine.runSteps(steps(1))).getLeft(), instanceOf(EngineError.ResponseLost.class));
    assertThat(await(engine.status()).isRight(), is(true));
  }

  // Guards against an order that is booked twice, or reported as not sent, after its connection
  // failed.
  @Test
  void ordersAreBookedAtMostOnceWhenConnectionsFail() throws Exception {
    assertThat(await(service.call(order("a"), 5_000)).isRight(), is(true));
    serviceProxy.setNewConnectionPolicy(NewConnectionPolicy.HANG);
    assertThat(
        await(service.call(order("b"), 300)).getLeft(), instanceOf(EngineError.ResponseLost.class));
    assertThat(serviceStandIn.bookings("b"), is(0));
    serviceProxy.setNewConnectionPolicy(NewConnectionPolicy.FORWARD);
    serviceStandIn.setFaults(ServiceFaults.delay(300));
    CompletableFuture<Either<EngineError, ?>> booked =
        service.call(order("c"), 5_000).thenApply(result -> result);
    while (serviceStandIn.bookings("c") == 0) {
      Thread.onSpinWait();
    }
    serviceProxy.resetConnections();
    assertThat(
        booked.get(20, TimeUnit.SECONDS).getLeft(), instanceOf(EngineError.ResponseLost.class));
    assertThat(serviceStandIn.bookings("c"), is(1));
    serviceProxy.setNewConnectionPolicy(NewConnectionPolicy.RESET);
    assertThat(await(service.call(order("d"), 5_000)).isLeft(), is(true));
    assertThat(serviceStandIn.bookings("d"), is(0));
  }
}
