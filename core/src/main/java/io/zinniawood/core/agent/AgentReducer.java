package io.zinniawood.core.agent;

import io.zinniawood.core.runtime.Reducer;
import io.zinniawood.core.runtime.Step;

/** Decisions of the agent role. */
public final class AgentReducer implements Reducer<AgentState, AgentEvent, AgentEffect> {
  @Override
  public Step<AgentState, AgentEffect> reduce(AgentState state, long nowNanos, AgentEvent event) {
    return Leaving.stopIfDone(state, event.accept(new Events(state, nowNanos)));
  }

  private record Events(AgentState state, long nowNanos)
      implements AgentEventVisitor<Step<AgentState, AgentEffect>> {
    @Override
    public Step<AgentState, AgentEffect> visitPeerConnected(AgentEvent.PeerConnected event) {
      return Statuses.connected(state, event.peer(), event.role());
    }

    @Override
    public Step<AgentState, AgentEffect> visitPeerDisconnected(AgentEvent.PeerDisconnected event) {
      return Statuses.disconnected(state, nowNanos, event.peer());
    }

    @Override
    public Step<AgentState, AgentEffect> visitPeerConnectFailed(
        AgentEvent.PeerConnectFailed event) {
      return StageConnections.connectFailed(state, nowNanos, event.address());
    }

    @Override
    public Step<AgentState, AgentEffect> visitMessageReceived(AgentEvent.MessageReceived event) {
      return event.message().accept(new AgentMessages(state, nowNanos, event.peer()));
    }

    @Override
    public Step<AgentState, AgentEffect> visitServiceAnswered(AgentEvent.ServiceAnswered event) {
      return Calls.answered(state, nowNanos, event.attempt(), event.answer());
    }

    @Override
    public Step<AgentState, AgentEffect> visitServiceFailed(AgentEvent.ServiceFailed event) {
      return Calls.failed(state, nowNanos, event.attempt(), event.outcome(), event.detail());
    }

    @Override
    public Step<AgentState, AgentEffect> visitClaimWritten(AgentEvent.ClaimWritten event) {
      return Claims.written(state, nowNanos, event.attempt(), event.result());
    }

    @Override
    public Step<AgentState, AgentEffect> visitAnswerStored(AgentEvent.AnswerStored event) {
      return ClaimStorage.stored(state, nowNanos, event.attempt(), event.result());
    }

    @Override
    public Step<AgentState, AgentEffect> visitStepsCompleted(AgentEvent.StepsCompleted event) {
      return StageBatchScheduler.completeBatch(state, event.results());
    }

    @Override
    public Step<AgentState, AgentEffect> visitCacheExported(AgentEvent.CacheExported event) {
      return CacheTransfer.sendExportedCache(
          state, event.session(), event.cache(), event.nextPosition());
    }

    @Override
    public Step<AgentState, AgentEffect> visitCacheImported(AgentEvent.CacheImported event) {
      return CacheTransfer.completeImport(state, nowNanos, event.session(), event.result());
    }

    @Override
    public Step<AgentState, AgentEffect> visitEngineStatusRead(AgentEvent.EngineStatusRead event) {
      return Statuses.read(state, event.capability());
    }

    @Override
    public Step<AgentState, AgentEffect> visitEngineUnavailable(
        AgentEvent.EngineUnavailable event) {
      return Statuses.unavailable(state);
    }

    @Override
    public Step<AgentState, AgentEffect> visitFencingNumberRead(
        AgentEvent.FencingNumberRead event) {
      return Orders.numberRead(state, event.number());
    }

    @Override
    public Step<AgentState, AgentEffect> visitOrderCompleted(AgentEvent.OrderCompleted event) {
      return Orders.completed(state, event.order(), event.outcome(), event.detail());
    }

    @Override
    public Step<AgentState, AgentEffect> visitTimerFired(AgentEvent.TimerFired event) {
      AgentTimer timer = event.timer();
      if (timer instanceof AgentTimer.QueueDeadline deadline) {
        return Gate.queueDeadline(state, nowNanos, deadline.attempt());
      }
      if (timer instanceof AgentTimer.AnswerRetry retry) {
        return ClaimStorage.retry(state, retry.attempt());
      }
      if (timer instanceof AgentTimer.SessionIdle idle) {
        return StageSessionLifecycle.handleIdleTimer(state, nowNanos, idle.session());
      }
      if (timer instanceof AgentTimer.ImportDeadline deadline) {
        return CacheTransfer.handleImportDeadline(
            state, nowNanos, deadline.session(), deadline.epoch());
      }
      return timer instanceof AgentTimer.FencingRetry
          ? Orders.relearn(state)
          : Statuses.tick(state, nowNanos);
    }

    @Override
    public Step<AgentState, AgentEffect> visitConfigurationAccepted(
        AgentEvent.ConfigurationAccepted event) {
      return Step.of(state);
    }

    @Override
    public Step<AgentState, AgentEffect> visitDrainRequested(AgentEvent.DrainRequested event) {
      return Leaving.drain(state, nowNanos);
    }
  }
}
