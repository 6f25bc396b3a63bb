package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.ClaimKey;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.EngineOrder;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.core.model.StageAddress;

/** Side effect that the agent's reducer requests. */
public sealed interface AgentEffect {
  /** Calls the visitor's method for the type of this effect. */
  <R> R accept(AgentEffectVisitor<R> visitor);

  /** Sends a message to a connected process; dropped if it is not connected. */
  record Send(PeerId peer, Message message) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitSend(this);
    }
  }

  /**
   * Sends a message to another agent, opening a connection if there is none; messages keep their
   * order.
   *
   * @param stage stage that the agent runs
   */
  record SendToStage(StageAddress stage, Message message) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitSendToStage(this);
    }
  }

  /**
   * Sends a message to the agent at an address, opening a connection if there is none.
   *
   * @param address address of the agent
   */
  record SendToAddress(NodeAddress address, Message message) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitSendToAddress(this);
    }
  }

  /**
   * Calls the plain service once, without retries.
   *
   * @param timeoutMillis timeout in milliseconds
   */
  record CallService(AttemptId attempt, ServiceCall call, long timeoutMillis)
      implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitCallService(this);
    }
  }

  /**
   * Claims an idempotency key with a conditional write; a lost response is resolved by reading the
   * row.
   *
   * @param key key of the claim
   * @param row row to write
   * @param fence 0 if the row must not exist, else the fence that the released row must have
   */
  record WriteClaim(AttemptId attempt, ClaimKey key, ClaimRow row, Fence fence)
      implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitWriteClaim(this);
    }
  }

  /**
   * Writes the final state of an attempt into its claim row: its answer, or the release of a claim
   * whose call did not start. Succeeds without a write if the row does not show the attempt in
   * state STARTED.
   *
   * @param key key of the claim
   * @param row finished or released row
   */
  record StoreAnswer(AttemptId attempt, ClaimKey key, ClaimRow row) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitStoreAnswer(this);
    }
  }

  /**
   * Runs a batch of steps on the engine.
   *
   * @param steps steps; those of one session have consecutive positions, in order
   */
  record RunSteps(Vector<StageStep> steps) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitRunSteps(this);
    }
  }

  /** Releases a session on the engine. */
  record CloseEngineSession(SessionId session) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitCloseEngineSession(this);
    }
  }

  /** Exports the KV cache of a session. */
  record ExportCache(SessionId session) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitExportCache(this);
    }
  }

  /**
   * Imports the KV cache of a session.
   *
   * @param epoch epoch of the import
   * @param nextPosition first position that the cache does not cover
   */
  record ImportCache(SessionId session, Epoch epoch, int nextPosition, Payload cache)
      implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitImportCache(this);
    }
  }

  /** Reads the controller lease from the table. */
  record ReadFencingNumber() implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitReadFencingNumber(this);
    }
  }

  /**
   * Submits an order to the engine.
   *
   * @param fencingNumber fencing number of the controller lease
   * @param action change that the engine has to make
   */
  record SubmitOrder(AttemptId order, FencingNumber fencingNumber, EngineOrder action)
      implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitSubmitOrder(this);
    }
  }

  /** Requests the status of the engine or service. */
  record ReadEngineStatus() implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitReadEngineStatus(this);
    }
  }

  /**
   * Starts or restarts a timer.
   *
   * @param delayNanos delay in nanoseconds
   */
  record StartTimer(AgentTimer timer, long delayNanos) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitStartTimer(this);
    }
  }

  /** Cancels a timer. */
  record CancelTimer(AgentTimer timer) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitCancelTimer(this);
    }
  }

  /** Writes a structured log line. */
  record Log(AgentNotice notice) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitLog(this);
    }
  }

  /** Stops the process; no work is in progress. */
  record Stop() implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitStop(this);
    }
  }
}
