package io.zinniawood.core.entry;

import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.ClaimKey;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ServiceAnswer;

/** Effect that the entry's shell carries out. */
public sealed interface EntryEffect {
  /** Calls the visitor's method for the type of this effect. */
  <R> R accept(EntryEffectVisitor<R> visitor);

  /**
   * Sends one token to the caller.
   *
   * @param request request
   * @param text text of the token
   */
  record ReplyToken(RequestId request, String text) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitReplyToken(this);
    }
  }

  /**
   * Ends a model answer.
   *
   * @param request request
   * @param reason reason
   * @param tokens tokens of the answer
   */
  record FinishAnswer(RequestId request, FinishReason reason, int tokens) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitFinishAnswer(this);
    }
  }

  /**
   * Sends the answer of a plain service to the caller.
   *
   * @param request request
   * @param answer the answer
   */
  record ReplyServiceAnswer(RequestId request, ServiceAnswer answer) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitReplyServiceAnswer(this);
    }
  }

  /**
   * Refuses or fails a request.
   *
   * @param request request
   * @param problem problem document
   */
  record ReplyProblem(RequestId request, Problem problem) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitReplyProblem(this);
    }
  }

  /**
   * Sends a message to an agent; dropped if that incarnation is not connected.
   *
   * @param endpoint endpoint
   * @param incarnation incarnation of the agent
   * @param message the message
   */
  record SendToAgent(EndpointId endpoint, Incarnation incarnation, Message message)
      implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitSendToAgent(this);
    }
  }

  /**
   * Opens a connection to an agent.
   *
   * @param endpoint endpoint
   * @param address address of the agent
   */
  record ConnectAgent(EndpointId endpoint, NodeAddress address) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitConnectAgent(this);
    }
  }

  /**
   * Closes the connection to an agent.
   *
   * @param endpoint endpoint
   */
  record DisconnectAgent(EndpointId endpoint) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitDisconnectAgent(this);
    }
  }

  /**
   * Writes a tombstone that keeps every copy of an attempt from starting.
   *
   * @param request request
   * @param attempt attempt to rule out
   * @param key key of the claim
   * @param requestDigest SHA-256 of the request in hexadecimal
   */
  record ReleaseClaim(RequestId request, AttemptId attempt, ClaimKey key, String requestDigest)
      implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitReleaseClaim(this);
    }
  }

  /**
   * Reads the claim row of an idempotency key when a call with that key arrives.
   *
   * @param request request
   * @param key key of the claim
   */
  record ReadClaim(RequestId request, ClaimKey key) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitReadClaim(this);
    }
  }

  /** Reads the controller lease. */
  record ReadLease() implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitReadLease(this);
    }
  }

  /**
   * Writes the controller lease if its version is as expected.
   *
   * @param expectedVersion version that was read, 0 if the row did not exist
   * @param row new row
   */
  record WriteLease(long expectedVersion, LeaseRow row) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitWriteLease(this);
    }
  }

  /**
   * Starts or restarts a timer.
   *
   * @param timer the timer
   * @param delayNanos delay in nanoseconds
   */
  record StartTimer(EntryTimer timer, long delayNanos) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitStartTimer(this);
    }
  }

  /**
   * Cancels a timer.
   *
   * @param timer the timer
   */
  record CancelTimer(EntryTimer timer) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitCancelTimer(this);
    }
  }

  /**
   * Changes the answer of the readiness probe.
   *
   * @param readiness new readiness
   */
  record SetReadiness(Readiness readiness) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitSetReadiness(this);
    }
  }

  /**
   * Counts the result of a request for metrics and service-level objectives.
   *
   * @param result the result
   */
  record RecordResult(RequestResult result) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitRecordResult(this);
    }
  }

  /**
   * Records an incident for reports and logs.
   *
   * @param incident the incident
   */
  record RecordIncident(Incident incident) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitRecordIncident(this);
    }
  }

  /** Ends the process; nothing is in progress. */
  record StopProcess() implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitStopProcess(this);
    }
  }
}
