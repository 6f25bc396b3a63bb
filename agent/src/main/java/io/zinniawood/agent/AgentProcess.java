package io.zinniawood.agent;

import io.vavr.control.Either;
import io.zinniawood.agent.internal.AgentEffectExecutor;
import io.zinniawood.agent.internal.ClaimStore;
import io.zinniawood.agent.internal.EndpointCalls;
import io.zinniawood.agent.internal.FailedEffects;
import io.zinniawood.agent.internal.LeaseReader;
import io.zinniawood.agent.internal.PeerConnections;
import io.zinniawood.config.settings.AgentSettings;
import io.zinniawood.core.agent.AgentEffect;
import io.zinniawood.core.agent.AgentEvent;
import io.zinniawood.core.agent.AgentProperties;
import io.zinniawood.core.agent.AgentReducer;
import io.zinniawood.core.agent.AgentState;
import io.zinniawood.core.agent.AgentTimer;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.runtime.EventLoop;
import io.zinniawood.wire.WireError;
import java.util.concurrent.CompletableFuture;

/** Process that runs beside one endpoint and executes the effects of the agent's reducer. */
public final class AgentProcess implements AutoCloseable {
  /**
   * Concurrency limit of plain service calls if the endpoint is a model engine, which cannot run
   * any: such calls fail without being sent.
   */
  private static final int MODEL_ENGINE_MAX_CONCURRENT_CALLS = 1;

  private final AgentDependencies dependencies;
  private final EventLoop<AgentState, AgentEvent, AgentEffect, AgentTimer> loop;
  private final PeerConnections connections;
  private final CompletableFuture<Boolean> stopped = new CompletableFuture<>();

  /** Creates the process without starting it. */
  public AgentProcess(AgentDependencies dependencies) {
    this.dependencies = dependencies;
    this.loop =
        new EventLoop<>(
            "agent-loop",
            AgentState.initial(agentProperties(dependencies), dependencies.seed()),
            new AgentReducer(),
            dependencies.clockNanos());
    this.connections = new PeerConnections(dependencies.transport(), loop::post);
  }

  private static AgentProperties agentProperties(AgentDependencies dependencies) {
    AgentSettings settings = dependencies.settings();
    int maxConcurrent =
        dependencies.endpointClient() instanceof EndpointClient.Service service
            ? service.maxConcurrent()
            : MODEL_ENGINE_MAX_CONCURRENT_CALLS;
    return new AgentProperties(
        settings.endpoint(),
        dependencies.incarnation(),
        settings.dataCentre(),
        settings.pool(),
        settings.peers(),
        maxConcurrent,
        settings.keptOutputBytes());
  }

  /**
   * Starts the event loop and listens for other processes.
   *
   * @return the address on which the agent listens for peers, or why listening failed
   */
  public Either<WireError, NodeAddress> start() {
    AgentEffectExecutor executor =
        new AgentEffectExecutor(
            connections,
            new EndpointCalls(dependencies.endpointClient(), loop::post),
            new ClaimStore(
                dependencies.table(),
                dependencies.codec(),
                loop::post,
                dependencies.clockNanos(),
                ClaimStore.delayedByCheckInterval()),
            new LeaseReader(dependencies.table(), loop::post),
            new LoopTimers(),
            () -> stopped.complete(true));
    loop.start(effect -> effect.accept(executor), FailedEffects::resultOf);
    Either<WireError, NodeAddress> listening =
        dependencies.transport().listen(dependencies.settings().peers(), connections);
    if (listening.isRight()) {
      loop.post(new AgentEvent.TimerFired(new AgentTimer.StatusTick()));
    }
    return listening;
  }

  private final class LoopTimers implements AgentEffectExecutor.Timers {
    @Override
    public void start(AgentTimer timer, long delayNanos) {
      loop.startTimer(timer, delayNanos, new AgentEvent.TimerFired(timer));
    }

    @Override
    public void cancel(AgentTimer timer) {
      loop.cancelTimer(timer);
    }
  }

  /**
   * Announces that the endpoint is leaving and waits for work in progress.
   *
   * @return a future that completes when no work is in progress and the process may be closed
   */
  public CompletableFuture<Boolean> drain() {
    loop.post(new AgentEvent.DrainRequested());
    return stopped.copy();
  }

  /** Closes the port and all connections immediately, without waiting for work in progress. */
  @Override
  public void close() {
    connections.close();
    dependencies.transport().close();
    loop.close();
    stopped.complete(true);
  }
}
