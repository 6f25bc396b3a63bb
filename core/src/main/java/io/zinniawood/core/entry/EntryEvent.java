package io.zinniawood.core.entry;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.IdempotencyKey;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.AgentIdentity;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.core.model.VmEntry;

/** Event that the entry's reducer handles. */
public sealed interface EntryEvent {
  /** Calls the visitor's method for the type of this event. */
  <R> R accept(EntryEventVisitor<R> visitor);

  /**
   * A caller sent a model request.
   *
   * @param clientAccount authenticated client account
   * @param prompt prompt in the form that engines accept
   * @param prefixHash hash of the first part of the prompt, for prefix-cache affinity
   * @param promptTokens estimated number of tokens in the prompt
   * @param maxTokens maximum number of tokens in the answer
   * @param deadlineNanos monotonic time of the deadline in nanoseconds
   */
  record ModelRequestArrived(
      RequestId request,
      ClientAccountId clientAccount,
      ModelId model,
      Payload prompt,
      long prefixHash,
      int promptTokens,
      int maxTokens,
      Priority priority,
      long deadlineNanos)
      implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitModelRequestArrived(this);
    }
  }

  /**
   * A caller sent a call to a plain service.
   *
   * @param clientAccount authenticated client account
   * @param idempotency whether the call may run more than once
   * @param key idempotency key that the caller sent, if any
   * @param deadlineNanos monotonic time of the deadline in nanoseconds
   */
  record ServiceRequestArrived(
      RequestId request,
      ClientAccountId clientAccount,
      ServiceName service,
      ServiceCall call,
      Idempotency idempotency,
      Option<IdempotencyKey> key,
      Priority priority,
      long deadlineNanos)
      implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitServiceRequestArrived(this);
    }
  }

  /** The caller closed its connection before the answer was complete. */
  record CallerDisconnected(RequestId request) implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitCallerDisconnected(this);
    }
  }

  /**
   * A connection to an agent was opened.
   *
   * @param status first status that the agent sent
   */
  record AgentConnected(AgentIdentity identity, Message.Status status) implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitAgentConnected(this);
    }
  }

  /**
   * The connection to an agent ended.
   *
   * @param incarnation incarnation of the agent on that connection
   */
  record AgentDisconnected(EndpointId endpoint, Incarnation incarnation, DisconnectReason reason)
      implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitAgentDisconnected(this);
    }
  }

  /** A connection to an agent could not be opened. */
  record AgentConnectFailed(EndpointId endpoint) implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitAgentConnectFailed(this);
    }
  }

  /**
   * An agent sent a message.
   *
   * @param incarnation incarnation of the agent on that connection
   */
  record AgentMessageReceived(EndpointId endpoint, Incarnation incarnation, Message message)
      implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitAgentMessageReceived(this);
    }
  }

  /**
   * The read of the claim row of an arriving call ended.
   *
   * @param reading row that was read, or that the table is unavailable
   */
  record ClaimRead(RequestId request, ClaimReadResult reading) implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitClaimRead(this);
    }
  }

  /**
   * The release of a claim ended.
   *
   * @param attempt attempt that the release keeps from starting
   * @param resolution whether the claim was released, is held or could not be determined
   */
  record ClaimReleaseCompleted(RequestId request, AttemptId attempt, ClaimReleaseResult resolution)
      implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitClaimReleaseCompleted(this);
    }
  }

  /**
   * The VM list was read or arrived from another entry.
   *
   * @param version version of the list; one that is not higher than the present version is ignored
   * @param vms VMs of the list
   */
  record VmListReceived(long version, Vector<VmEntry> vms) implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitVmListReceived(this);
    }
  }

  /** An accepted configuration arrived. */
  record ConfigurationAccepted(AcceptedConfiguration configuration) implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitConfigurationAccepted(this);
    }
  }

  /**
   * The table answered a read or write of the controller lease.
   *
   * @param row present row, none if it does not exist
   * @param version version of the row, 0 if it does not exist
   */
  record LeaseRead(Option<LeaseRow> row, long version) implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitLeaseRead(this);
    }
  }

  /** The controller lease could not be read or written. */
  record LeaseUnavailable() implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitLeaseUnavailable(this);
    }
  }

  /** A timer elapsed. */
  record TimerFired(EntryTimer timer) implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitTimerFired(this);
    }
  }

  /** The process was asked to stop. */
  record DrainRequested() implements EntryEvent {
    @Override
    public <R> R accept(EntryEventVisitor<R> visitor) {
      return visitor.visitDrainRequested(this);
    }
  }
}
