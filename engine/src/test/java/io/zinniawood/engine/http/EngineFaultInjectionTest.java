package io.zinniawood.engine.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.EngineOrder;
import io.zinniawood.core.model.EngineRole;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;
import io.zinniawood.engine.EngineError;
import io.zinniawood.engine.ModelEngine;
import io.zinniawood.engine.ModelEngine.StepRequest;
import io.zinniawood.standin.engine.EngineFaults;
import io.zinniawood.standin.engine.EngineSettings;
import io.zinniawood.standin.engine.EngineStandIn;
import io.zinniawood.standin.engine.ModelParameters;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests every operation of the engine client against each injected engine fault. */
class EngineFaultInjectionTest {
  private static final SessionId SESSION = new SessionId("s");
  private static final Vector<StepRequest> STEPS =
      Vector.of(new StepRequest(SESSION, 0, Payload.ofText("x"), 5, Priority.NORMAL));

  private record Operation(
      String name,
      Function<ModelEngine, CompletableFuture<? extends Either<EngineError, ?>>> call) {}

  private static final List<Operation> OPERATIONS =
      List.of(
          new Operation("run", engine -> engine.runSteps(STEPS)),
          new Operation("status", ModelEngine::status),
          new Operation("export", engine -> engine.exportCache(SESSION)),
          new Operation(
              "import",
              engine ->
                  engine.importCache(SESSION, new ModelEngine.CacheExport(1, Payload.empty()))),
          new Operation(
              "order",
              engine ->
                  engine.sendOrder(
                      new FencingNumber(1), new EngineOrder.ChangeRole(EngineRole.PREFILL))),
          new Operation("close", engine -> engine.closeSession(SESSION)));

  private final OkHttpClient client = new OkHttpClient();
  private final EngineStandIn standIn =
      EngineStandIn.launch(EngineSettings.unlimited(new ModelParameters("m", "1", 4, 0), 0, 4));
  private final ModelEngine engine =
      new HttpModelEngine(
          URI.create("http://127.0.0.1:" + standIn.port()),
          client,
          new HttpEngineSettings(500, 500, 500, 500, 1_000, 16));

  @AfterEach
  void stop() {
    standIn.close();
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private Either<EngineError, ?> result(Operation operation) throws Exception {
    return operation.call().apply(engine).get(20, TimeUnit.SECONDS);
  }

  // Guards against repeating work on another engine although a frozen engine may run it later, and
  // against failing work that could be repeated because the engine refused it.
  @Test
  void everyOperationDistinguishesRefusalFromLostResponse() throws Exception {
    standIn.setFaults(EngineFaults.outage());
    for (Operation operation : OPERATIONS) {
      assertThat(
          operation.name(), result(operation).getLeft() instanceof EngineError.Refused, is(true));
    }
    standIn.setFaults(EngineFaults.freeze());
    for (Operation operation : OPERATIONS) {
      assertThat(
          operation.name(),
          result(operation).getLeft() instanceof EngineError.ResponseLost,
          is(true));
    }
    standIn.setFaults(EngineFaults.none());
    assertThat(standIn.executedSteps(), is(1L));
  }

  // Guards against treating a slow engine as failed.
  @Test
  void slowEngineRespondsWithinLongerTimeout() throws Exception {
    ModelEngine longTimeoutEngine =
        new HttpModelEngine(URI.create("http://127.0.0.1:" + standIn.port()), client);
    standIn.setFaults(EngineFaults.slow(2, 100));
    assertThat(longTimeoutEngine.runSteps(STEPS).get(20, TimeUnit.SECONDS).isRight(), is(true));
    assertThat(standIn.executedSteps(), is(1L));
  }
}
