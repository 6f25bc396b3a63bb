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

/** Effect that the agent's shell carries out. */
public sealed interface AgentEffect {
  /** Calls the visitor's method for the type of this effect. */
  <R> R accept(AgentEffectVisitor<R> visitor);

  /**
   * Sends a message to a connected process; dropped if it is not connected.
   *
   * @param peer the process
   * @param message the message
   */
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
   * @param stage the agent
   * @param message the message
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
   * @param message the message
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
   * @param attempt attempt
   * @param call the call
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
   * @param attempt attempt
   * @param key key of the claim
   * @param row row to write
   * @param fence 0: the row must not exist; else the row must be released with this fence
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
   * whose call did not start. Succeeds without a write if the row does not name the attempt as
   * started.
   *
   * @param attempt attempt
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
   * @param steps steps, at most one position of a session unless they are consecutive
   */
  record RunSteps(Vector<StageStep> steps) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitRunSteps(this);
    }
  }

  /**
   * Releases a session on the engine.
   *
   * @param session session
   */
  record CloseEngineSession(SessionId session) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitCloseEngineSession(this);
    }
  }

  /**
   * Exports the KV cache of a session.
   *
   * @param session session
   */
  record ExportCache(SessionId session) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitExportCache(this);
    }
  }

  /**
   * Imports the KV cache of a session.
   *
   * @param session session
   * @param epoch epoch of the import
   * @param nextPosition first position that the cache does not cover
   * @param cache the cache
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
   * Passes an order to the engine.
   *
   * @param order order
   * @param fencingNumber fencing number
   * @param action what the engine has to do
   */
  record SubmitOrder(AttemptId order, FencingNumber fencingNumber, EngineOrder action)
      implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitSubmitOrder(this);
    }
  }

  /** Asks the engine or service for its status. */
  record ReadEngineStatus() implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitReadEngineStatus(this);
    }
  }

  /**
   * Starts or restarts a timer.
   *
   * @param timer the timer
   * @param delayNanos delay in nanoseconds
   */
  record StartTimer(AgentTimer timer, long delayNanos) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitStartTimer(this);
    }
  }

  /**
   * Cancels a timer.
   *
   * @param timer the timer
   */
  record CancelTimer(AgentTimer timer) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitCancelTimer(this);
    }
  }

  /**
   * Writes a structured log line.
   *
   * @param notice the notice
   */
  record Log(AgentNotice notice) implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitLog(this);
    }
  }

  /** Ends the process; nothing is in progress. */
  record Stop() implements AgentEffect {
    @Override
    public <R> R accept(AgentEffectVisitor<R> visitor) {
      return visitor.visitStop(this);
    }
  }
}
