package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.OrderOutcome;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.ServiceAnswer;

/** Event that the agent's reducer handles. */
public sealed interface AgentEvent {
  /** Calls the visitor's method for the type of this event. */
  <R> R accept(AgentEventVisitor<R> visitor);

  /**
   * A connection to an entry or another agent is open.
   *
   * @param role role of the process
   */
  record PeerConnected(PeerId peer, PeerRole role) implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitPeerConnected(this);
    }
  }

  /** The connection to a process ended. */
  record PeerDisconnected(PeerId peer) implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitPeerDisconnected(this);
    }
  }

  /**
   * A connection to another agent could not be opened.
   *
   * @param address address of the agent
   */
  record PeerConnectFailed(NodeAddress address) implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitPeerConnectFailed(this);
    }
  }

  /** A process sent a message. */
  record MessageReceived(PeerId peer, Message message) implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitMessageReceived(this);
    }
  }

  /** The plain service answered a call. */
  record ServiceAnswered(AttemptId attempt, ServiceAnswer answer) implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitServiceAnswered(this);
    }
  }

  /**
   * A call of the plain service failed.
   *
   * @param outcome NOT_RUN if the call did not reach the service, else UNKNOWN
   * @param detail human-readable explanation
   */
  record ServiceFailed(AttemptId attempt, Outcome outcome, String detail) implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitServiceFailed(this);
    }
  }

  /** The table answered the claim of an idempotency key. */
  record ClaimWritten(AttemptId attempt, ClaimWriteResult result) implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitClaimWritten(this);
    }
  }

  /** The table answered the write of the final state of an attempt. */
  record AnswerStored(AttemptId attempt, StoreWriteResult result) implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitAnswerStored(this);
    }
  }

  /**
   * The engine finished a batch of steps.
   *
   * @param results one result for each step
   */
  record StepsCompleted(Vector<StageResult> results) implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitStepsCompleted(this);
    }
  }

  /**
   * The engine answered a cache export.
   *
   * @param cache the cache, none if the export failed
   * @param nextPosition first position that the cache does not cover
   */
  record CacheExported(SessionId session, Option<Payload> cache, int nextPosition)
      implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitCacheExported(this);
    }
  }

  /**
   * The engine answered a cache import.
   *
   * @param epoch epoch of the import
   * @param result whether the import succeeded
   */
  record CacheImported(SessionId session, Epoch epoch, StoreWriteResult result)
      implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitCacheImported(this);
    }
  }

  /**
   * The engine or service reported its capability and load, which may be out of date.
   *
   * @param capability what the endpoint serves
   */
  record EngineStatusRead(Capability capability, LoadReport load) implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitEngineStatusRead(this);
    }
  }

  /** The engine or service did not answer the status request. */
  record EngineUnavailable() implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitEngineUnavailable(this);
    }
  }

  /**
   * The table answered the read of the controller lease.
   *
   * @param number fencing number, none if the table could not be read
   */
  record FencingNumberRead(Option<FencingNumber> number) implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitFencingNumberRead(this);
    }
  }

  /**
   * The engine answered an order.
   *
   * @param outcome result
   * @param detail human-readable explanation
   */
  record OrderCompleted(AttemptId order, OrderOutcome outcome, String detail)
      implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitOrderCompleted(this);
    }
  }

  /** A timer elapsed. */
  record TimerFired(AgentTimer timer) implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitTimerFired(this);
    }
  }

  /** An accepted configuration arrived. */
  record ConfigurationAccepted(AcceptedConfiguration configuration) implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitConfigurationAccepted(this);
    }
  }

  /** The process was asked to stop. */
  record DrainRequested() implements AgentEvent {
    @Override
    public <R> R accept(AgentEventVisitor<R> visitor) {
      return visitor.visitDrainRequested(this);
    }
  }
}
