package io.zinniawood.core.agent;

import io.zinniawood.core.agent.EarlyFrames.Frame;
import io.zinniawood.core.agent.EarlyFrames.Origin;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.message.MessageVisitor;
import io.zinniawood.core.runtime.Step;

/**
 * Dispatches each message that an agent receives to its handler.
 *
 * @param state state before the message
 * @param nowNanos time of arrival in nanoseconds
 * @param peer sender
 */
record AgentMessages(AgentState state, long nowNanos, PeerId peer)
    implements MessageVisitor<Step<AgentState, AgentEffect>> {
  private Step<AgentState, AgentEffect> unexpected(Message message) {
    return Step.of(
        state,
        ReducerSteps.log(
            NoticeKind.REFUSED,
            peer.nodeId(),
            "agents do not accept messages of type %s"
                .formatted(message.getClass().getSimpleName())));
  }

  @Override
  public Step<AgentState, AgentEffect> visitStatus(Message.Status message) {
    return Step.of(state);
  }

  @Override
  public Step<AgentState, AgentEffect> visitDispatch(Message.Dispatch message) {
    return CallAdmission.dispatch(state, nowNanos, peer, message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitDispatchReply(Message.DispatchReply message) {
    return unexpected(message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitDispatchRefused(Message.DispatchRefused message) {
    return unexpected(message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitCancelDispatch(Message.CancelDispatch message) {
    return CallAdmission.cancel(state, nowNanos, peer, message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitCancelResult(Message.CancelResult message) {
    return unexpected(message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitOpenSession(Message.OpenSession message) {
    return StageSessionLifecycle.open(state, nowNanos, peer, message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitSessionOpened(Message.SessionOpened message) {
    return unexpected(message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitSessionRefused(Message.SessionRefused message) {
    return unexpected(message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitStepInput(Message.StepInput message) {
    return StageFrames.handleFrame(
        state,
        nowNanos,
        new Frame(
            peer,
            Origin.STEP,
            message.session(),
            message.epoch(),
            message.position(),
            message.input(),
            nowNanos));
  }

  @Override
  public Step<AgentState, AgentEffect> visitActivation(Message.Activation message) {
    return StageFrames.handleFrame(
        state,
        nowNanos,
        new Frame(
            peer,
            Origin.ACTIVATION,
            message.session(),
            message.epoch(),
            message.position(),
            message.payload(),
            nowNanos));
  }

  @Override
  public Step<AgentState, AgentEffect> visitToken(Message.Token message) {
    return unexpected(message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitStageFailed(Message.StageFailed message) {
    return unexpected(message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitReplay(Message.Replay message) {
    return StageFrames.handleReplay(state, peer, message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitCloseSession(Message.CloseSession message) {
    return StageSessionLifecycle.close(state, peer, message.session());
  }

  @Override
  public Step<AgentState, AgentEffect> visitCacheRequest(Message.CacheRequest message) {
    return CacheTransfer.handleExportRequest(state, peer, message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitCacheSnapshot(Message.CacheSnapshot message) {
    return CacheTransfer.receiveSnapshot(state, nowNanos, message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitOrder(Message.Order message) {
    return Orders.receive(state, peer, message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitOrderResult(Message.OrderResult message) {
    return unexpected(message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitConfigurationRequest(
      Message.ConfigurationRequest message) {
    return unexpected(message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitConfigurationSnapshot(
      Message.ConfigurationSnapshot message) {
    return Step.of(state);
  }

  @Override
  public Step<AgentState, AgentEffect> visitVmListSnapshot(Message.VmListSnapshot message) {
    return unexpected(message);
  }

  @Override
  public Step<AgentState, AgentEffect> visitObjectiveCounts(Message.ObjectiveCounts message) {
    return unexpected(message);
  }
}
