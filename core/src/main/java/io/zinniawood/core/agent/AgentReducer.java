package io.zinniawood.core.agent;

import io.zinniawood.core.runtime.Reducer;
import io.zinniawood.core.runtime.Step;

/** Reducer of the agent role: maps each event to a new state and effects. */
public final class AgentReducer implements Reducer<AgentState, AgentEvent, AgentEffect> {
  @Override
  public Step<AgentState, AgentEffect> reduce(AgentState state, long nowNanos, AgentEvent event) {
    EventHandler handler = new EventHandler(state, nowNanos);
    return AgentDrain.stopIfDone(
        state, FailureContainment.handle(state, event, handled -> handled.accept(handler)));
  }

  private record EventHandler(AgentState state, long nowNanos)
      implements AgentEventVisitor<Step<AgentState, AgentEffect>> {
    @Override
    public Step<AgentState, AgentEffect> visitPeerConnected(AgentEvent.PeerConnected event) {
      return AgentStatus.peerConnected(state, event.peer(), event.role());
    }

    @Override
    public Step<AgentState, AgentEffect> visitPeerDisconnected(AgentEvent.PeerDisconnected event) {
      return AgentStatus.peerDisconnected(state, nowNanos, event.peer());
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
      return CallResults.answered(state, nowNanos, event.attempt(), event.answer());
    }

    @Override
    public Step<AgentState, AgentEffect> visitServiceFailed(AgentEvent.ServiceFailed event) {
      return CallResults.failed(state, nowNanos, event.attempt(), event.outcome(), event.detail());
    }

    @Override
    public Step<AgentState, AgentEffect> visitClaimWritten(AgentEvent.ClaimWritten event) {
      return KeyClaims.claimWritten(state, nowNanos, event.attempt(), event.result());
    }

    @Override
    public Step<AgentState, AgentEffect> visitAnswerStored(AgentEvent.AnswerStored event) {
      return FinalRowWrites.writeCompleted(state, nowNanos, event.attempt(), event.result());
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
      return AgentStatus.engineStatusRead(state, event.capability());
    }

    @Override
    public Step<AgentState, AgentEffect> visitEngineUnavailable(
        AgentEvent.EngineUnavailable event) {
      return AgentStatus.engineUnavailable(state);
    }

    @Override
    public Step<AgentState, AgentEffect> visitFencingNumberRead(
        AgentEvent.FencingNumberRead event) {
      return Orders.fencingNumberRead(state, event.number());
    }

    @Override
    public Step<AgentState, AgentEffect> visitOrderCompleted(AgentEvent.OrderCompleted event) {
      return Orders.completed(state, event.order(), event.outcome(), event.detail());
    }

    @Override
    public Step<AgentState, AgentEffect> visitTimerFired(AgentEvent.TimerFired event) {
      AgentTimer timer = event.timer();
      if (timer instanceof AgentTimer.QueueDeadline deadline) {
        return CallAdmission.deadlinePassed(state, nowNanos, deadline.attempt());
      }
      if (timer instanceof AgentTimer.CallPermitted) {
        return CallAdmission.startQueuedCalls(state, nowNanos);
      }
      if (timer instanceof AgentTimer.FinalRowRetry retry) {
        return FinalRowWrites.retry(state, retry.attempt());
      }
      if (timer instanceof AgentTimer.SessionIdle idle) {
        return StageSessionLifecycle.handleIdleTimer(state, nowNanos, idle.session());
      }
      if (timer instanceof AgentTimer.ImportDeadline deadline) {
        return CacheTransfer.handleImportDeadline(
            state, nowNanos, deadline.session(), deadline.epoch());
      }
      return timer instanceof AgentTimer.FencingNumberRetry
          ? Orders.readFencingNumber(state)
          : AgentStatus.tick(state, nowNanos);
    }

    @Override
    public Step<AgentState, AgentEffect> visitConfigurationAccepted(
        AgentEvent.ConfigurationAccepted event) {
      return Step.of(state);
    }

    @Override
    public Step<AgentState, AgentEffect> visitDrainRequested(AgentEvent.DrainRequested event) {
      return AgentDrain.start(state, nowNanos);
    }
  }
}
