package io.zinniawood.core.entry;

/** Dispatch list: one line for each type of event. */
final class EntryDispatch implements EntryEventVisitor<Void> {
  private final Turn turn;

  EntryDispatch(Turn turn) {
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
    Membership.connected(turn, event);
    return null;
  }

  @Override
  public Void visitAgentDisconnected(EntryEvent.AgentDisconnected event) {
    Connections.disconnected(turn, event);
    return null;
  }

  @Override
  public Void visitAgentConnectFailed(EntryEvent.AgentConnectFailed event) {
    Connections.connectFailed(turn, event.endpoint());
    return null;
  }

  @Override
  public Void visitAgentMessageReceived(EntryEvent.AgentMessageReceived event) {
    if (turn.fleet().connectedAs(event.endpoint(), event.incarnation())) {
      event.message().accept(new MessageDispatch(turn, event));
    }
    return null;
  }

  @Override
  public Void visitClaimRead(EntryEvent.ClaimRead event) {
    Claims.claimRead(turn, event);
    return null;
  }

  @Override
  public Void visitClaimResolved(EntryEvent.ClaimResolved event) {
    Claims.releaseAnswered(turn, event);
    return null;
  }

  @Override
  public Void visitVmListReceived(EntryEvent.VmListReceived event) {
    Membership.listReceived(turn, event);
    return null;
  }

  @Override
  public Void visitConfigurationAccepted(EntryEvent.ConfigurationAccepted event) {
    Configurations.accepted(turn, event.configuration());
    return null;
  }

  @Override
  public Void visitLeaseRead(EntryEvent.LeaseRead event) {
    Leases.read(turn, event);
    return null;
  }

  @Override
  public Void visitLeaseUnavailable(EntryEvent.LeaseUnavailable event) {
    Leases.unavailable(turn);
    return null;
  }

  @Override
  public Void visitTimerFired(EntryEvent.TimerFired event) {
    TimerDispatch.fired(turn, event.timer());
    return null;
  }

  @Override
  public Void visitDrainRequested(EntryEvent.DrainRequested event) {
    Drain.requested(turn);
    return null;
  }
}
