package io.zinniawood.core.agent;

/**
 * Handles each type of effect.
 *
 * @param <R> result type
 */
public interface AgentEffectVisitor<R> {
  /** Handles a {@link AgentEffect.Send}. */
  R visitSend(AgentEffect.Send effect);

  /** Handles a {@link AgentEffect.SendToStage}. */
  R visitSendToStage(AgentEffect.SendToStage effect);

  /** Handles a {@link AgentEffect.SendToAddress}. */
  R visitSendToAddress(AgentEffect.SendToAddress effect);

  /** Handles a {@link AgentEffect.CallService}. */
  R visitCallService(AgentEffect.CallService effect);

  /** Handles a {@link AgentEffect.WriteClaim}. */
  R visitWriteClaim(AgentEffect.WriteClaim effect);

  /** Handles a {@link AgentEffect.StoreAnswer}. */
  R visitStoreAnswer(AgentEffect.StoreAnswer effect);

  /** Handles a {@link AgentEffect.RunSteps}. */
  R visitRunSteps(AgentEffect.RunSteps effect);

  /** Handles a {@link AgentEffect.CloseEngineSession}. */
  R visitCloseEngineSession(AgentEffect.CloseEngineSession effect);

  /** Handles an {@link AgentEffect.ExportCache}. */
  R visitExportCache(AgentEffect.ExportCache effect);

  /** Handles an {@link AgentEffect.ImportCache}. */
  R visitImportCache(AgentEffect.ImportCache effect);

  /** Handles a {@link AgentEffect.ReadFencingNumber}. */
  R visitReadFencingNumber(AgentEffect.ReadFencingNumber effect);

  /** Handles a {@link AgentEffect.SubmitOrder}. */
  R visitSubmitOrder(AgentEffect.SubmitOrder effect);

  /** Handles a {@link AgentEffect.ReadEngineStatus}. */
  R visitReadEngineStatus(AgentEffect.ReadEngineStatus effect);

  /** Handles a {@link AgentEffect.StartTimer}. */
  R visitStartTimer(AgentEffect.StartTimer effect);

  /** Handles a {@link AgentEffect.CancelTimer}. */
  R visitCancelTimer(AgentEffect.CancelTimer effect);

  /** Handles a {@link AgentEffect.Log}. */
  R visitLog(AgentEffect.Log effect);

  /** Handles a {@link AgentEffect.Stop}. */
  R visitStop(AgentEffect.Stop effect);
}
