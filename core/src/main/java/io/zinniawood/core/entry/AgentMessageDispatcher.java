package io.zinniawood.core.entry;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.message.MessageVisitor;

/**
 * Passes each message of an agent to the class that handles its type. Types that agents do not send
 * to entries are ignored.
 */
final class AgentMessageDispatcher implements MessageVisitor<Void> {
  private final Turn turn;
  private final EndpointId endpoint;
  private final Incarnation incarnation;

  AgentMessageDispatcher(Turn turn, EntryEvent.AgentMessageReceived event) {
    this.turn = turn;
    this.endpoint = event.endpoint();
    this.incarnation = event.incarnation();
  }

  @Override
  public Void visitStatus(Message.Status message) {
    Membership.handleStatus(turn, endpoint, message);
    return null;
  }

  @Override
  public Void visitDispatch(Message.Dispatch message) {
    return null;
  }

  @Override
  public Void visitDispatchReply(Message.DispatchReply message) {
    ServiceRequests.replied(turn, endpoint, message);
    return null;
  }

  @Override
  public Void visitDispatchRefused(Message.DispatchRefused message) {
    AttemptFailures.attemptRefused(turn, endpoint, message);
    return null;
  }

  @Override
  public Void visitCancelDispatch(Message.CancelDispatch message) {
    return null;
  }

  @Override
  public Void visitCancelResult(Message.CancelResult message) {
    AttemptFailures.cancelAnswered(turn, message);
    return null;
  }

  @Override
  public Void visitOpenSession(Message.OpenSession message) {
    return null;
  }

  @Override
  public Void visitSessionOpened(Message.SessionOpened message) {
    StageSessions.stageConfirmed(turn, endpoint, incarnation, message);
    return null;
  }

  @Override
  public Void visitSessionRefused(Message.SessionRefused message) {
    SessionFailures.sessionRefused(turn, endpoint, incarnation, message);
    return null;
  }

  @Override
  public Void visitStepInput(Message.StepInput message) {
    return null;
  }

  @Override
  public Void visitActivation(Message.Activation message) {
    return null;
  }

  @Override
  public Void visitToken(Message.Token message) {
    StageSessions.tokenReceived(turn, endpoint, incarnation, message);
    return null;
  }

  @Override
  public Void visitStageFailed(Message.StageFailed message) {
    SessionFailures.stageFailed(turn, endpoint, incarnation, message);
    return null;
  }

  @Override
  public Void visitReplay(Message.Replay message) {
    return null;
  }

  @Override
  public Void visitCloseSession(Message.CloseSession message) {
    return null;
  }

  @Override
  public Void visitCacheRequest(Message.CacheRequest message) {
    return null;
  }

  @Override
  public Void visitCacheSnapshot(Message.CacheSnapshot message) {
    return null;
  }

  @Override
  public Void visitOrder(Message.Order message) {
    return null;
  }

  @Override
  public Void visitOrderResult(Message.OrderResult message) {
    Repair.handleOrderResult(turn, endpoint, message);
    return null;
  }

  @Override
  public Void visitConfigurationRequest(Message.ConfigurationRequest message) {
    return null;
  }

  @Override
  public Void visitConfigurationSnapshot(Message.ConfigurationSnapshot message) {
    return null;
  }

  @Override
  public Void visitVmListSnapshot(Message.VmListSnapshot message) {
    return null;
  }

  @Override
  public Void visitObjectiveCounts(Message.ObjectiveCounts message) {
    return null;
  }
}
