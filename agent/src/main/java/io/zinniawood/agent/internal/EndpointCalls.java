package io.zinniawood.agent.internal;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.agent.EndpointClient;
import io.zinniawood.core.agent.AgentEffect;
import io.zinniawood.core.agent.AgentEvent;
import io.zinniawood.core.agent.StageResult;
import io.zinniawood.core.agent.StageStep;
import io.zinniawood.core.agent.StoreWriteResult;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.OrderOutcome;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.engine.EngineError;
import io.zinniawood.engine.ModelEngine;
import io.zinniawood.engine.ModelEngine.CacheExport;
import io.zinniawood.engine.ModelEngine.StepRequest;
import io.zinniawood.engine.StepOutput;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** Calls the model engine or plain service and posts the results as events. */
public final class EndpointCalls {
  private static final Logger LOGGER = System.getLogger(EndpointCalls.class.getName());

  private final EndpointClient endpointClient;
  private final Consumer<AgentEvent> events;
  private final ConcurrentHashMap<SessionId, CompletableFuture<?>> sessionReleases =
      new ConcurrentHashMap<>();

  /** Creates an instance that posts results to the given consumer. */
  public EndpointCalls(EndpointClient endpointClient, Consumer<AgentEvent> events) {
    this.endpointClient = endpointClient;
    this.events = events;
  }

  private static EngineError responseLost(Throwable exception) {
    return new EngineError.ResponseLost(exception.toString());
  }

  /** Calls the plain service once, without retries. */
  public void callService(AgentEffect.CallService effect) {
    if (!(endpointClient instanceof EndpointClient.Service service)) {
      events.accept(
          new AgentEvent.ServiceFailed(
              effect.attempt(),
              Outcome.NOT_RUN,
              "the endpoint of this agent is not a plain service"));
      return;
    }
    GuardedCalls.deliver(
        GuardedCalls.guarded(
            () -> service.client().call(effect.call(), effect.timeoutMillis()),
            EndpointCalls::responseLost),
        result ->
            events.accept(
                result.fold(
                    error ->
                        new AgentEvent.ServiceFailed(
                            effect.attempt(), outcome(error), error.detail()),
                    answer -> new AgentEvent.ServiceAnswered(effect.attempt(), answer))));
  }

  private static Outcome outcome(EngineError error) {
    return error instanceof EngineError.ResponseLost ? Outcome.UNKNOWN : Outcome.NOT_RUN;
  }

  /** Reads the capability and load of the endpoint. */
  public void readStatus() {
    GuardedCalls.deliver(fetchStatus(), events);
  }

  private CompletableFuture<AgentEvent> fetchStatus() {
    if (endpointClient instanceof EndpointClient.Engine engine) {
      return GuardedCalls.guarded(() -> engine.engine().status(), EndpointCalls::responseLost)
          .thenApply(
              result ->
                  result.fold(
                      error -> new AgentEvent.EngineUnavailable(),
                      status ->
                          new AgentEvent.EngineStatusRead(status.capability(), status.load())));
    }
    EndpointClient.Service service = (EndpointClient.Service) endpointClient;
    Capability capability = new Capability.PlainService(service.service(), service.maxConcurrent());
    LoadReport idle = LoadReport.idle(service.maxConcurrent());
    return GuardedCalls.guarded(() -> service.client().checkHealth(), EndpointCalls::responseLost)
        .thenApply(
            result ->
                result.exists(healthy -> healthy)
                    ? new AgentEvent.EngineStatusRead(capability, idle)
                    : new AgentEvent.EngineUnavailable());
  }

  private <R> CompletableFuture<Either<EngineError, R>> callEngine(
      java.util.function.Function<ModelEngine, CompletableFuture<Either<EngineError, R>>> call) {
    if (endpointClient instanceof EndpointClient.Engine engine) {
      return GuardedCalls.guarded(() -> call.apply(engine.engine()), EndpointCalls::responseLost);
    }
    return CompletableFuture.completedFuture(
        Either.left(new EngineError.NotSent("the endpoint of this agent is not a model engine")));
  }

  /**
   * Runs a batch of steps; if the batch fails, a failure is posted for each step. If the engine is
   * still releasing the earlier state of a session in the batch, the batch waits for the release,
   * which would otherwise remove the new state of that session.
   */
  public void runSteps(Vector<StageStep> steps) {
    Vector<StepRequest> requests =
        steps.map(
            step ->
                new StepRequest(
                    step.session(),
                    step.position(),
                    step.input(),
                    step.maxTokens(),
                    step.priority()));
    GuardedCalls.deliver(
        afterReleases(steps)
            .thenCompose(released -> callEngine(engine -> engine.runSteps(requests))),
        result ->
            events.accept(
                new AgentEvent.StepsCompleted(
                    result.fold(
                        error -> steps.map(step -> failedResult(step, error)),
                        outputs -> outputs.map(EndpointCalls::stageResult)))));
  }

  /** Returns a future that completes when no session of the batch is being released. */
  private CompletableFuture<Void> afterReleases(Vector<StageStep> steps) {
    return CompletableFuture.allOf(
        steps
            .flatMap(step -> Option.of(sessionReleases.get(step.session())))
            .asJava()
            .toArray(new CompletableFuture<?>[0]));
  }

  private static StageResult failedResult(StageStep step, EngineError error) {
    return new StageResult.Failed(step.session(), step.position(), error.detail());
  }

  private static StageResult stageResult(StepOutput output) {
    if (output instanceof StepOutput.Activation a) {
      return new StageResult.Output(a.session(), a.position(), a.payload());
    }
    if (output instanceof StepOutput.Token t) {
      return new StageResult.Generated(t.session(), t.position(), t.text(), t.finish());
    }
    StepOutput.Failed failed = (StepOutput.Failed) output;
    return new StageResult.Failed(failed.session(), failed.position(), failed.detail());
  }

  /** Releases a session; if that fails, the engine frees the memory when the session expires. */
  public void closeSession(SessionId session) {
    CompletableFuture<Either<EngineError, Boolean>> release =
        callEngine(engine -> engine.closeSession(session));
    sessionReleases.put(session, release);
    GuardedCalls.deliver(
        release,
        result -> {
          sessionReleases.remove(session, release);
          if (result.isLeft()) {
            LOGGER.log(
                Level.DEBUG,
                "engine did not release session {0}: {1}",
                session,
                result.getLeft().detail());
          }
        });
  }

  /** Exports the KV cache of a session; posts {@link AgentEvent.CacheExported}. */
  public void exportCache(SessionId session) {
    GuardedCalls.deliver(
        callEngine(engine -> engine.exportCache(session)),
        result ->
            events.accept(
                new AgentEvent.CacheExported(
                    session,
                    result.toOption().map(CacheExport::cache),
                    result.map(CacheExport::nextPosition).getOrElse(0))));
  }

  /** Imports the KV cache of a session; posts {@link AgentEvent.CacheImported}. */
  public void importCache(AgentEffect.ImportCache effect) {
    CacheExport cache = new CacheExport(effect.nextPosition(), effect.cache());
    GuardedCalls.deliver(
        callEngine(engine -> engine.importCache(effect.session(), cache)),
        result ->
            events.accept(
                new AgentEvent.CacheImported(
                    effect.session(),
                    effect.epoch(),
                    result.exists(done -> done)
                        ? StoreWriteResult.DONE
                        : StoreWriteResult.FAILED)));
  }

  /** Sends an order to the engine; posts {@link AgentEvent.OrderCompleted}. */
  public void sendOrder(AgentEffect.SubmitOrder effect) {
    GuardedCalls.deliver(
        callEngine(engine -> engine.sendOrder(effect.fencingNumber(), effect.action())),
        result ->
            events.accept(
                new AgentEvent.OrderCompleted(
                    effect.order(),
                    result.getOrElse(OrderOutcome.FAILED),
                    Option.when(result.isLeft(), () -> result.getLeft().detail()).getOrElse(""))));
  }
}
