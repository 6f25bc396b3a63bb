package io.zinniawood.engine.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.EngineOrder;
import io.zinniawood.core.model.EngineRole;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.OrderOutcome;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;
import io.zinniawood.engine.EngineError;
import io.zinniawood.engine.EngineStatus;
import io.zinniawood.engine.ModelEngine;
import io.zinniawood.engine.ModelEngine.StepRequest;
import io.zinniawood.engine.StepOutput;
import io.zinniawood.standin.engine.EngineFaults;
import io.zinniawood.standin.engine.EngineSettings;
import io.zinniawood.standin.engine.EngineStandIn;
import io.zinniawood.standin.engine.ModelParameters;
import io.zinniawood.standin.engine.ReferenceModel;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpModelEngineTest {
  private static final ModelParameters MODEL = new ModelParameters("kiosk", "1", 8, 40);
  private static final String PROMPT = "why was my coin rejected at the kiosk";
  private final OkHttpClient client = new OkHttpClient();
  private final List<EngineStandIn> standIns = new ArrayList<>();

  @AfterEach
  void stop() {
    standIns.forEach(EngineStandIn::close);
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private EngineStandIn standIn(int fromLayer, int toLayerExclusive) {
    return launch(EngineSettings.unlimited(MODEL, fromLayer, toLayerExclusive));
  }

  private EngineStandIn launch(EngineSettings settings) {
    EngineStandIn standIn = EngineStandIn.launch(settings);
    standIns.add(standIn);
    return standIn;
  }

  private ModelEngine engine(int port) {
    HttpEngineSettings settings = new HttpEngineSettings(500, 600, 600, 5_000, 10_000, 16);
    return new HttpModelEngine(URI.create("http://127.0.0.1:" + port), client, settings);
  }

  private static StepRequest step(String session, int position, Payload input, int maxTokens) {
    return new StepRequest(new SessionId(session), position, input, maxTokens, Priority.NORMAL);
  }

  private static <T> Either<EngineError, T> await(CompletableFuture<Either<EngineError, T>> future)
      throws Exception {
    return future.get(20, TimeUnit.SECONDS);
  }

  private static <T> T value(CompletableFuture<Either<EngineError, T>> future) throws Exception {
    return await(future).getOrElseThrow(error -> new AssertionError(error.toString()));
  }

  private static <T> EngineError error(CompletableFuture<Either<EngineError, T>> future)
      throws Exception {
    return await(future).swap().getOrElseThrow(() -> new AssertionError("no error"));
  }

  private static StepOutput runOne(ModelEngine engine, StepRequest step) throws Exception {
    return value(engine.runSteps(Vector.of(step))).head();
  }

  /** Generates the rest of an answer on a chain of engines, beginning at the given position. */
  private static List<String> answer(
      List<ModelEngine> chain, String session, int fromPosition, Payload first, int maxTokens)
      throws Exception {
    List<String> tokens = new ArrayList<>();
    Payload input = first;
    for (int position = fromPosition; ; position++) {
      Payload payload = input;
      for (ModelEngine engine : chain) {
        StepOutput output = runOne(engine, step(session, position, payload, maxTokens));
        if (output instanceof StepOutput.Activation activation) {
          payload = activation.payload();
        } else {
          StepOutput.Token token = (StepOutput.Token) output;
          tokens.add(token.text());
          if (token.finish().isDefined()) {
            return tokens;
          }
          input = Payload.ofText(token.text());
        }
      }
    }
  }

  // Guards against answers that depend on how layers are split over engines.
  @Test
  void everyLayerSplitProducesTheReferenceAnswer() throws Exception {
    List<String> expected = new ReferenceModel(MODEL).answer(PROMPT, 30).tokens();
    ModelEngine whole = engine(standIn(0, 8).port());
    List<ModelEngine> split =
        List.of(
            engine(standIn(0, 3).port()),
            engine(standIn(3, 4).port()),
            engine(standIn(4, 8).port()));
    Payload prompt = Payload.ofText(PROMPT);
    assertThat(answer(List.of(whole), "s", 0, prompt, 30), equalTo(expected));
    assertThat(answer(split, "s", 0, prompt, 30), equalTo(expected));
    assertThat(standIns.get(1).repeatedExecutions(), is(0));
  }

  // Guards against a session that continues from a wrong state after it moved to another engine.
  @Test
  void importedCacheContinuesTheAnswer() throws Exception {
    ModelParameters endless = new ModelParameters("kiosk", "1", 8, 0);
    List<String> expected = new ReferenceModel(endless).answer(PROMPT, 6).tokens();
    ModelEngine original = engine(launch(EngineSettings.unlimited(endless, 0, 8)).port());
    ModelEngine replacement = engine(launch(EngineSettings.unlimited(endless, 0, 8)).port());
    Payload input = Payload.ofText(PROMPT);
    for (int position = 0; position < 3; position++) {
      StepOutput output = runOne(original, step("s", position, input, 6));
      input = Payload.ofText(((StepOutput.Token) output).text());
    }
    ModelEngine.CacheExport export = value(original.exportCache(new SessionId("s")));
    assertThat(export.nextPosition(), is(3));
    assertThat(value(replacement.importCache(new SessionId("s"), export)), is(true));
    assertThat(answer(List.of(replacement), "s", 3, input, 6), equalTo(expected.subList(3, 6)));
    ModelEngine otherRange = engine(standIn(0, 4).port());
    assertThat(
        error(otherRange.importCache(new SessionId("s"), export)),
        instanceOf(EngineError.Refused.class));
  }

  // Guards against a stand-in that does not show when a layer runs twice for the same position.
  @Test
  void repeatedPositionsAreCountedAndChangeTheAnswer() throws Exception {
    EngineStandIn standIn = standIn(0, 8);
    ModelEngine engine = engine(standIn.port());
    StepRequest prompt = step("s", 0, Payload.ofText(PROMPT), 30);
    StepRequest next = step("s", 1, Payload.ofText(" coin"), 30);
    runOne(engine, prompt);
    StepOutput right = runOne(engine, next);
    runOne(engine, step("t", 0, Payload.ofText(PROMPT), 30));
    runOne(engine, step("t", 0, Payload.ofText(PROMPT), 30));
    StepOutput wrong = runOne(engine, step("t", 1, Payload.ofText(" coin"), 30));
    assertThat(((StepOutput.Token) wrong).text(), not(equalTo(((StepOutput.Token) right).text())));
    assertThat(standIn.repeatedExecutions(), is(8));
  }

  // Guards against orders of a former controller that take effect on engines that check the
  // fencing numbers.
  @Test
  void ordersTakeEffectAndStaleFencingNumbersAreRefused() throws Exception {
    ModelEngine engine = engine(standIn(0, 8).port());
    EngineOrder load = new EngineOrder.LoadModel(new ModelId("kiosk"), "2", new LayerRange(2, 6));
    assertThat(value(engine.sendOrder(new FencingNumber(5), load)), is(OrderOutcome.DONE));
    EngineStatus status = value(engine.status());
    assertThat(status.capability().layers(), equalTo(new LayerRange(2, 6)));
    EngineOrder change = new EngineOrder.ChangeRole(EngineRole.DECODE);
    assertThat(
        value(engine.sendOrder(new FencingNumber(4), change)),
        is(OrderOutcome.STALE_FENCING_NUMBER));
    EngineOrder adapter = new EngineOrder.LoadAdapter(new ModelId("other"), "fees");
    assertThat(value(engine.sendOrder(new FencingNumber(5), adapter)), is(OrderOutcome.FAILED));
    ModelEngine engineWithoutFencing =
        engine(
            launch(
                    EngineSettings.unlimited(MODEL, 0, 8)
                        .withFencing(EngineSettings.Fencing.IGNORED))
                .port());
    assertThat(
        value(engineWithoutFencing.sendOrder(new FencingNumber(5), change)), is(OrderOutcome.DONE));
    assertThat(
        value(engineWithoutFencing.sendOrder(new FencingNumber(1), change)), is(OrderOutcome.DONE));
  }

  // Guards against reporting steps that ran as not sent, and against running them twice.
  @Test
  void lostResponsesAndFreezesAreReportedAndNotRepeated() throws Exception {
    EngineStandIn standIn = standIn(0, 8);
    ModelEngine engine = engine(standIn.port());
    standIn.setFaults(EngineFaults.lostResponses(1));
    Vector<StepRequest> steps = Vector.of(step("s", 0, Payload.ofText(PROMPT), 30));
    assertThat(error(engine.runSteps(steps)), instanceOf(EngineError.ResponseLost.class));
    assertThat(standIn.executedSteps(), is(1L));
    standIn.setFaults(EngineFaults.freeze());
    assertThat(error(engine.runSteps(steps)), instanceOf(EngineError.ResponseLost.class));
    assertThat(error(engine.status()), instanceOf(EngineError.ResponseLost.class));
    standIn.setFaults(EngineFaults.none());
    value(engine.status());
    assertThat(standIn.executedSteps(), is(2L));
  }

  // Guards against reporting a refusal as a lost response, after which the request fails instead of
  // being retried.
  @Test
  void refusalsAndFailedStepsAreReported() throws Exception {
    EngineStandIn standIn = standIn(0, 8);
    ModelEngine engine = engine(standIn.port());
    Vector<StepRequest> steps =
        Vector.of(
            step("s", 0, Payload.ofText(PROMPT), 30), step("s", 1, Payload.ofText(" coin"), 30));
    standIn.setFaults(EngineFaults.outage());
    assertThat(error(engine.runSteps(steps)), instanceOf(EngineError.Refused.class));
    standIn.setFaults(EngineFaults.failSteps(1));
    assertThat(
        value(engine.runSteps(steps)).map(StepOutput::getClass),
        contains(StepOutput.Failed.class, StepOutput.Failed.class));
    assertThat(value(engine.closeSession(new SessionId("s"))), is(false));
    int port = standIn.port();
    standIn.close();
    client.connectionPool().evictAll();
    assertThat(error(engine(port).runSteps(steps)), instanceOf(EngineError.NotSent.class));
  }
}
