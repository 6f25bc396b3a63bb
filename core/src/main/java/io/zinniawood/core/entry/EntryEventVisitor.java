package io.zinniawood.core.entry;

/**
 * Handles each type of event.
 *
 * @param <R> result type
 */
public interface EntryEventVisitor<R> {
  /** Handles a {@link EntryEvent.ModelRequestArrived}. */
  R visitModelRequestArrived(EntryEvent.ModelRequestArrived event);

  /** Handles a {@link EntryEvent.ServiceRequestArrived}. */
  R visitServiceRequestArrived(EntryEvent.ServiceRequestArrived event);

  /** Handles a {@link EntryEvent.CallerDisconnected}. */
  R visitCallerDisconnected(EntryEvent.CallerDisconnected event);

  /** Handles an {@link EntryEvent.AgentConnected}. */
  R visitAgentConnected(EntryEvent.AgentConnected event);

  /** Handles an {@link EntryEvent.AgentDisconnected}. */
  R visitAgentDisconnected(EntryEvent.AgentDisconnected event);

  /** Handles an {@link EntryEvent.AgentConnectFailed}. */
  R visitAgentConnectFailed(EntryEvent.AgentConnectFailed event);

  /** Handles an {@link EntryEvent.AgentMessageReceived}. */
  R visitAgentMessageReceived(EntryEvent.AgentMessageReceived event);

  /** Handles a {@link EntryEvent.ClaimRead}. */
  R visitClaimRead(EntryEvent.ClaimRead event);

  /** Handles a {@link EntryEvent.ClaimReleaseCompleted}. */
  R visitClaimReleaseCompleted(EntryEvent.ClaimReleaseCompleted event);

  /** Handles a {@link EntryEvent.VmListReceived}. */
  R visitVmListReceived(EntryEvent.VmListReceived event);

  /** Handles a {@link EntryEvent.ConfigurationAccepted}. */
  R visitConfigurationAccepted(EntryEvent.ConfigurationAccepted event);

  /** Handles a {@link EntryEvent.LeaseRead}. */
  R visitLeaseRead(EntryEvent.LeaseRead event);

  /** Handles a {@link EntryEvent.LeaseUnavailable}. */
  R visitLeaseUnavailable(EntryEvent.LeaseUnavailable event);

  /** Handles a {@link EntryEvent.TimerFired}. */
  R visitTimerFired(EntryEvent.TimerFired event);

  /** Handles a {@link EntryEvent.DrainRequested}. */
  R visitDrainRequested(EntryEvent.DrainRequested event);
}
