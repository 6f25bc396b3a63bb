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

/** Calls of the engine or plain service; posts their results as events. */
public final class EngineCalls {
  private static final Logger LOGGER = System.getLogger(EngineCalls.class.getName());

  private final EndpointClient endpointClient;
  private final Consumer<AgentEvent> events;
  private final ConcurrentHashMap<SessionId, CompletableFuture<?>> releases =
      new ConcurrentHashMap<>();

  /** Creates calls that post to the given consumer. */
  public EngineCalls(EndpointClient endpointClient, Consumer<AgentEvent> events) {
    this.endpointClient = endpointClient;
    this.events = events;
  }

  private static EngineError lost(Throwable fault) {
    return new EngineError.ResponseLost(fault.toString());
  }

  /** Calls the plain service once. */
  public void call(AgentEffect.CallService effect) {
    if (!(endpointClient instanceof EndpointClient.Service service)) {
      events.accept(
          new AgentEvent.ServiceFailed(
              effect.attempt(), Outcome.NOT_RUN, "no plain service stands beside this agent"));
      return;
    }
    Calls.deliver(
        Calls.guarded(
            () -> service.client().call(effect.call(), effect.timeoutMillis()), EngineCalls::lost),
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
    Calls.deliver(status(), events);
  }

  private CompletableFuture<AgentEvent> status() {
    if (endpointClient instanceof EndpointClient.Engine engine) {
      return Calls.guarded(() -> engine.engine().status(), EngineCalls::lost)
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
    return Calls.guarded(() -> service.client().healthy(), EngineCalls::lost)
        .thenApply(
            result ->
                result.exists(healthy -> healthy)
                    ? new AgentEvent.EngineStatusRead(capability, idle)
                    : new AgentEvent.EngineUnavailable());
  }

  private <R> CompletableFuture<Either<EngineError, R>> onEngine(
      java.util.function.Function<ModelEngine, CompletableFuture<Either<EngineError, R>>> call) {
    if (endpointClient instanceof EndpointClient.Engine engine) {
      return Calls.guarded(() -> call.apply(engine.engine()), EngineCalls::lost);
    }
    return CompletableFuture.completedFuture(
        Either.left(new EngineError.NotSent("no model engine stands beside this agent")));
  }

  /**
   * Runs a batch; a failed batch gives a failure for each step. Steps of a session whose earlier
   * state is being released run after the release, which would otherwise remove their state.
   */
  public void run(Vector<StageStep> steps) {
    Vector<StepRequest> requests =
        steps.map(
            step ->
                new StepRequest(
                    step.session(),
                    step.position(),
                    step.input(),
                    step.maxTokens(),
                    step.priority()));
    Calls.deliver(
        afterReleases(steps).thenCompose(released -> onEngine(engine -> engine.run(requests))),
        result ->
            events.accept(
                new AgentEvent.StepsCompleted(
                    result.fold(
                        error -> steps.map(step -> failed(step, error)),
                        outputs -> outputs.map(EngineCalls::result)))));
  }

  /** Completes when no session of the batch is being released. */
  private CompletableFuture<Void> afterReleases(Vector<StageStep> steps) {
    return CompletableFuture.allOf(
        steps
            .flatMap(step -> Option.of(releases.get(step.session())))
            .asJava()
            .toArray(new CompletableFuture<?>[0]));
  }

  private static StageResult failed(StageStep step, EngineError error) {
    return new StageResult.Failed(step.session(), step.position(), error.detail());
  }

  private static StageResult result(StepOutput output) {
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
        onEngine(engine -> engine.close(session));
    releases.put(session, release);
    Calls.deliver(
        release,
        result -> {
          releases.remove(session, release);
          if (result.isLeft()) {
            LOGGER.log(
                Level.DEBUG, "session {0} not released: {1}", session, result.getLeft().detail());
          }
        });
  }

  /** Exports the KV cache of a session. */
  public void exportCache(SessionId session) {
    Calls.deliver(
        onEngine(engine -> engine.exportCache(session)),
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
    Calls.deliver(
        onEngine(engine -> engine.importCache(effect.session(), cache)),
        result ->
            events.accept(
                new AgentEvent.CacheImported(
                    effect.session(),
                    effect.epoch(),
                    result.exists(done -> done)
                        ? StoreWriteResult.DONE
                        : StoreWriteResult.FAILED)));
  }

  /** Passes an order. */
  public void order(AgentEffect.SubmitOrder effect) {
    Calls.deliver(
        onEngine(engine -> engine.order(effect.fencingNumber(), effect.action())),
        result ->
            events.accept(
                new AgentEvent.OrderCompleted(
                    effect.order(),
                    result.getOrElse(OrderOutcome.FAILED),
                    Option.when(result.isLeft(), () -> result.getLeft().detail()).getOrElse(""))));
  }
}
