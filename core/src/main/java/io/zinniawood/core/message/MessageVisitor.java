package io.zinniawood.core.message;

/**
 * Handles each type of message.
 *
 * @param <R> result type
 */
public interface MessageVisitor<R> {
  /** Handles a {@link Message.Status}. */
  R visitStatus(Message.Status message);

  /** Handles a {@link Message.Dispatch}. */
  R visitDispatch(Message.Dispatch message);

  /** Handles a {@link Message.DispatchReply}. */
  R visitDispatchReply(Message.DispatchReply message);

  /** Handles a {@link Message.DispatchRefused}. */
  R visitDispatchRefused(Message.DispatchRefused message);

  /** Handles a {@link Message.CancelDispatch}. */
  R visitCancelDispatch(Message.CancelDispatch message);

  /** Handles a {@link Message.CancelResult}. */
  R visitCancelResult(Message.CancelResult message);

  /** Handles an {@link Message.OpenSession}. */
  R visitOpenSession(Message.OpenSession message);

  /** Handles a {@link Message.SessionOpened}. */
  R visitSessionOpened(Message.SessionOpened message);

  /** Handles a {@link Message.SessionRefused}. */
  R visitSessionRefused(Message.SessionRefused message);

  /** Handles a {@link Message.StepInput}. */
  R visitStepInput(Message.StepInput message);

  /** Handles an {@link Message.Activation}. */
  R visitActivation(Message.Activation message);

  /** Handles a {@link Message.Token}. */
  R visitToken(Message.Token message);

  /** Handles a {@link Message.StageFailed}. */
  R visitStageFailed(Message.StageFailed message);

  /** Handles a {@link Message.Replay}. */
  R visitReplay(Message.Replay message);

  /** Handles a {@link Message.CloseSession}. */
  R visitCloseSession(Message.CloseSession message);

  /** Handles a {@link Message.CacheRequest}. */
  R visitCacheRequest(Message.CacheRequest message);

  /** Handles a {@link Message.CacheSnapshot}. */
  R visitCacheSnapshot(Message.CacheSnapshot message);

  /** Handles an {@link Message.Order}. */
  R visitOrder(Message.Order message);

  /** Handles an {@link Message.OrderResult}. */
  R visitOrderResult(Message.OrderResult message);

  /** Handles a {@link Message.ConfigurationRequest}. */
  R visitConfigurationRequest(Message.ConfigurationRequest message);

  /** Handles a {@link Message.ConfigurationSnapshot}. */
  R visitConfigurationSnapshot(Message.ConfigurationSnapshot message);

  /** Handles a {@link Message.VmListSnapshot}. */
  R visitVmListSnapshot(Message.VmListSnapshot message);

  /** Handles an {@link Message.ObjectiveCounts}. */
  R visitObjectiveCounts(Message.ObjectiveCounts message);
}
