package io.zinniawood.agent.internal;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.agent.EndpointClient;
import io.zinniawood.core.agent.AgentEffect;
import io.zinniawood.core.agent.AgentEvent;
import io.zinniawood.core.agent.StageResult;
import io.zinniawood.core.agent.StageStep;
import io.zinniawood.core.agent.StoreWrite;
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

/** Calls of the engine or plain service; posts their results as events. */
public final class EndpointCalls {
  private static final Logger LOGGER = System.getLogger(EndpointCalls.class.getName());

  private final EndpointClient endpointClient;
  private final Consumer<AgentEvent> events;
  private final ConcurrentHashMap<SessionId, CompletableFuture<?>> sessionReleases =
      new ConcurrentHashMap<>();

  /** Creates calls that post to the given consumer. */
  public EndpointCalls(EndpointClient endpointClient, Consumer<AgentEvent> events) {
    this.endpointClient = endpointClient;
    this.events = events;
  }

  private static EngineError responseLost(Throwable fault) {
    return new EngineError.ResponseLost(fault.toString());
  }

  /** Calls the plain service once. */
  public void callService(AgentEffect.CallService effect) {
    if (!(endpointClient instanceof EndpointClient.Service service)) {
      events.accept(
          new AgentEvent.ServiceFailed(
              effect.attempt(), Outcome.NOT_RUN, "no plain service stands beside this agent"));
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

  /** Reads capability and load. */
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
        Either.left(new EngineError.NotSent("no model engine stands beside this agent")));
  }

  /**
   * Runs a batch; a failed batch gives a failure for each step. Steps of a session whose earlier
   * state is being released run after the release, which would otherwise remove their state.
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

  /** Completes when no session of the batch is being released. */
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

  /** Releases a session; a failure only leaves memory to the engine's own expiry. */
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
                Level.DEBUG, "session {0} not released: {1}", session, result.getLeft().detail());
          }
        });
  }

  /** Exports the KV cache of a session. */
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

  /** Imports the KV cache of a session. */
  public void importCache(AgentEffect.ImportCache effect) {
    CacheExport cache = new CacheExport(effect.nextPosition(), effect.cache());
    GuardedCalls.deliver(
        callEngine(engine -> engine.importCache(effect.session(), cache)),
        result ->
            events.accept(
                new AgentEvent.CacheImported(
                    effect.session(),
                    effect.epoch(),
                    result.exists(done -> done) ? StoreWrite.DONE : StoreWrite.FAILED)));
  }

  /** Passes an order. */
  public void sendOrder(AgentEffect.PassOrder effect) {
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
