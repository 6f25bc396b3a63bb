package io.zinniawood.core.entry;

/** Passes each event to the class that handles its type. */
final class EntryEventDispatcher implements EntryEventVisitor<Void> {
  private final Turn turn;

  EntryEventDispatcher(Turn turn) {
    this.turn = turn;
  }

  @Override
  public Void visitModelRequestArrived(EntryEvent.ModelRequestArrived event) {
    ModelRequests.arrived(turn, event);
    return null;
  }

  @Override
  public Void visitServiceRequestArrived(EntryEvent.ServiceRequestArrived event) {
    ServiceRequests.arrived(turn, event);
    return null;
  }

  @Override
  public Void visitCallerDisconnected(EntryEvent.CallerDisconnected event) {
    OpenRequests.callerDisconnected(turn, event.request());
    return null;
  }

  @Override
  public Void visitAgentConnected(EntryEvent.AgentConnected event) {
    Membership.handleConnected(turn, event);
    return null;
  }

  @Override
  public Void visitAgentDisconnected(EntryEvent.AgentDisconnected event) {
    Connections.handleDisconnect(turn, event);
    return null;
  }

  @Override
  public Void visitAgentConnectFailed(EntryEvent.AgentConnectFailed event) {
    Connections.handleConnectFailure(turn, event.endpoint());
    return null;
  }

  @Override
  public Void visitAgentMessageReceived(EntryEvent.AgentMessageReceived event) {
    if (turn.fleet().connectedAs(event.endpoint(), event.incarnation())) {
      event.message().accept(new AgentMessageDispatcher(turn, event));
    }
    return null;
  }

  @Override
  public Void visitClaimRead(EntryEvent.ClaimRead event) {
    Claims.claimRead(turn, event);
    return null;
  }

  @Override
  public Void visitClaimReleaseCompleted(EntryEvent.ClaimReleaseCompleted event) {
    Claims.releaseAnswered(turn, event);
    return null;
  }

  @Override
  public Void visitVmListReceived(EntryEvent.VmListReceived event) {
    Membership.handleVmList(turn, event);
    return null;
  }

  @Override
  public Void visitConfigurationAccepted(EntryEvent.ConfigurationAccepted event) {
    Configurations.apply(turn, event.configuration());
    return null;
  }

  @Override
  public Void visitLeaseRead(EntryEvent.LeaseRead event) {
    Leases.handleRead(turn, event);
    return null;
  }

  @Override
  public Void visitLeaseUnavailable(EntryEvent.LeaseUnavailable event) {
    Leases.handleStoreUnavailable(turn);
    return null;
  }

  @Override
  public Void visitTimerFired(EntryEvent.TimerFired event) {
    TimerDispatcher.fired(turn, event.timer());
    return null;
  }

  @Override
  public Void visitDrainRequested(EntryEvent.DrainRequested event) {
    Drain.begin(turn);
    return null;
  }
}
