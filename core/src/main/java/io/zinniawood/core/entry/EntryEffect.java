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

/**
 * Side effect that the entry's reducer requests and the process around it, the shell, carries out.
 */
public sealed interface EntryEffect {
  /** Calls the visitor's method for the type of this effect. */
  <R> R accept(EntryEffectVisitor<R> visitor);

  /** Sends one token to the caller. */
  record ReplyToken(RequestId request, String text) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitReplyToken(this);
    }
  }

  /**
   * Ends a model answer.
   *
   * @param reason why the answer ended
   * @param tokens number of tokens in the answer
   */
  record FinishAnswer(RequestId request, FinishReason reason, int tokens) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitFinishAnswer(this);
    }
  }

  /** Sends the answer of a plain service to the caller. */
  record ReplyServiceAnswer(RequestId request, ServiceAnswer answer) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitReplyServiceAnswer(this);
    }
  }

  /**
   * Answers a request that was refused or failed.
   *
   * @param problem problem document that the caller receives
   */
  record ReplyProblem(RequestId request, Problem problem) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitReplyProblem(this);
    }
  }

  /**
   * Sends a message to an agent; the shell drops it if that incarnation is not connected.
   *
   * @param incarnation incarnation of the agent that must receive it
   */
  record SendToAgent(EndpointId endpoint, Incarnation incarnation, Message message)
      implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitSendToAgent(this);
    }
  }

  /** Opens a connection to the agent at the given address. */
  record ConnectAgent(EndpointId endpoint, NodeAddress address) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitConnectAgent(this);
    }
  }

  /** Closes the connection to an agent. */
  record DisconnectAgent(EndpointId endpoint) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitDisconnectAgent(this);
    }
  }

  /**
   * Writes a tombstone row that prevents every copy of an attempt from starting.
   *
   * @param attempt attempt that must not start
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

  /** Reads the claim row of an idempotency key when a call with that key arrives. */
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
   * @param row row to write
   */
  record WriteLease(long expectedVersion, LeaseRow row) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitWriteLease(this);
    }
  }

  /**
   * Starts a timer, or restarts it if it is already running.
   *
   * @param delayNanos delay in nanoseconds
   */
  record StartTimer(EntryTimer timer, long delayNanos) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitStartTimer(this);
    }
  }

  /** Cancels a timer. */
  record CancelTimer(EntryTimer timer) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitCancelTimer(this);
    }
  }

  /** Changes the answer of the readiness probe. */
  record SetReadiness(Readiness readiness) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitSetReadiness(this);
    }
  }

  /** Counts the result of a request for metrics and service-level objectives. */
  record RecordResult(RequestResult result) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitRecordResult(this);
    }
  }

  /** Records an incident for reports and logs. */
  record RecordIncident(Incident incident) implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitRecordIncident(this);
    }
  }

  /** Ends the process; requested only when no request is open. */
  record StopProcess() implements EntryEffect {
    @Override
    public <R> R accept(EntryEffectVisitor<R> visitor) {
      return visitor.visitStopProcess(this);
    }
  }
}
