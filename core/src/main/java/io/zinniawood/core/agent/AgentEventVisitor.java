package io.zinniawood.core.agent;

/**
 * Handles each type of event.
 *
 * @param <R> result type
 */
public interface AgentEventVisitor<R> {
  /** Handles a {@link AgentEvent.PeerConnected}. */
  R visitPeerConnected(AgentEvent.PeerConnected event);

  /** Handles a {@link AgentEvent.PeerDisconnected}. */
  R visitPeerDisconnected(AgentEvent.PeerDisconnected event);

  /** Handles a {@link AgentEvent.PeerConnectFailed}. */
  R visitPeerConnectFailed(AgentEvent.PeerConnectFailed event);

  /** Handles a {@link AgentEvent.MessageReceived}. */
  R visitMessageReceived(AgentEvent.MessageReceived event);

  /** Handles a {@link AgentEvent.ServiceAnswered}. */
  R visitServiceAnswered(AgentEvent.ServiceAnswered event);

  /** Handles a {@link AgentEvent.ServiceFailed}. */
  R visitServiceFailed(AgentEvent.ServiceFailed event);

  /** Handles a {@link AgentEvent.ClaimWritten}. */
  R visitClaimWritten(AgentEvent.ClaimWritten event);

  /** Handles an {@link AgentEvent.AnswerStored}. */
  R visitAnswerStored(AgentEvent.AnswerStored event);

  /** Handles a {@link AgentEvent.StepsCompleted}. */
  R visitStepsCompleted(AgentEvent.StepsCompleted event);

  /** Handles a {@link AgentEvent.CacheExported}. */
  R visitCacheExported(AgentEvent.CacheExported event);

  /** Handles a {@link AgentEvent.CacheImported}. */
  R visitCacheImported(AgentEvent.CacheImported event);

  /** Handles an {@link AgentEvent.EngineStatusRead}. */
  R visitEngineStatusRead(AgentEvent.EngineStatusRead event);

  /** Handles an {@link AgentEvent.EngineUnavailable}. */
  R visitEngineUnavailable(AgentEvent.EngineUnavailable event);

  /** Handles a {@link AgentEvent.FencingNumberRead}. */
  R visitFencingNumberRead(AgentEvent.FencingNumberRead event);

  /** Handles an {@link AgentEvent.OrderCompleted}. */
  R visitOrderCompleted(AgentEvent.OrderCompleted event);

  /** Handles a {@link AgentEvent.TimerFired}. */
  R visitTimerFired(AgentEvent.TimerFired event);

  /** Handles a {@link AgentEvent.ConfigurationAccepted}. */
  R visitConfigurationAccepted(AgentEvent.ConfigurationAccepted event);

  /** Handles a {@link AgentEvent.DrainRequested}. */
  R visitDrainRequested(AgentEvent.DrainRequested event);
}
