package io.zinniawood.core.message;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.IdempotencyKey;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.EngineOrder;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.OrderOutcome;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.core.model.ServingState;
import io.zinniawood.core.model.StageAddress;
import io.zinniawood.core.model.VmEntry;

/** Message of the protocol between the processes of the system. */
public sealed interface Message {
  /** Calls the visitor's method for the type of this message. */
  <R> R accept(MessageVisitor<R> visitor);

  /**
   * Announces the serving state, capability and load of an agent's endpoint.
   *
   * @param state serving state
   * @param capability what the endpoint serves
   * @param load current load
   */
  record Status(ServingState state, Capability capability, LoadReport load) implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitStatus(this);
    }
  }

  /**
   * Asks an agent to call its plain service.
   *
   * @param request request of the caller
   * @param attempt attempt to run the request
   * @param incarnation incarnation of the agent that may run the attempt; others refuse it
   * @param clientAccount client account of the caller
   * @param service called service
   * @param idempotency whether the call may run more than once
   * @param key idempotency key of the caller
   * @param fence latest fence of the key that is known to the entry
   * @param remainingMillis time until the deadline in milliseconds
   * @param weight fair-share weight of the client account
   */
  record Dispatch(
      RequestId request,
      AttemptId attempt,
      Incarnation incarnation,
      ClientAccountId clientAccount,
      ServiceName service,
      ServiceCall call,
      Idempotency idempotency,
      Option<IdempotencyKey> key,
      Fence fence,
      long remainingMillis,
      int weight)
      implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitDispatch(this);
    }
  }

  /**
   * Returns the answer of a plain service.
   *
   * @param request request of the caller
   * @param attempt attempt that ran
   * @param answer answer of the service
   * @param load load after the call
   */
  record DispatchReply(RequestId request, AttemptId attempt, ServiceAnswer answer, LoadReport load)
      implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitDispatchReply(this);
    }
  }

  /**
   * Reports that an attempt was refused or failed.
   *
   * @param request request of the caller
   * @param attempt refused attempt
   * @param outcome whether this attempt ran; never COMPLETED
   * @param claim claim row that conflicts with the attempt
   */
  record DispatchRefused(
      RequestId request,
      AttemptId attempt,
      RefusalReason reason,
      Outcome outcome,
      Option<ClaimRow> claim)
      implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitDispatchRefused(this);
    }
  }

  /**
   * Cancels an attempt; one that has not started will not start.
   *
   * @param request request of the caller
   * @param attempt attempt to cancel
   */
  record CancelDispatch(RequestId request, AttemptId attempt) implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitCancelDispatch(this);
    }
  }

  /**
   * Reports the state of a cancelled attempt.
   *
   * @param request request of the caller
   * @param attempt cancelled attempt
   * @param outcome state of the attempt
   */
  record CancelResult(RequestId request, AttemptId attempt, CancelOutcome outcome)
      implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitCancelResult(this);
    }
  }

  /**
   * Opens a stage session, or moves it to a new epoch with a new chain.
   *
   * @param epoch epoch of the chain
   * @param incarnation incarnation of the agent that may run the stage; others refuse it
   * @param clientAccount client account of the caller
   * @param chain stages in order of their layers
   * @param stageIndex index of the receiver in the chain
   * @param maxTokens maximum number of tokens of the answer
   * @param priority priority of the request
   * @param remainingMillis time until the deadline in milliseconds
   * @param weight fair-share weight of the client account
   * @param rebuildPositions number of positions that a new stage must rebuild first, 0 for a new
   *     session
   * @param importFrom agent from which a new stage may import the KV cache
   */
  record OpenSession(
      SessionId session,
      Epoch epoch,
      Incarnation incarnation,
      ClientAccountId clientAccount,
      ModelId model,
      Vector<StageAddress> chain,
      int stageIndex,
      int maxTokens,
      Priority priority,
      long remainingMillis,
      int weight,
      int rebuildPositions,
      Option<NodeAddress> importFrom)
      implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitOpenSession(this);
    }
  }

  /**
   * Confirms an epoch of a stage session.
   *
   * @param epoch confirmed epoch
   * @param stageIndex index of the sender in the chain
   * @param nextPosition first position that the stage has not run
   */
  record SessionOpened(SessionId session, Epoch epoch, int stageIndex, int nextPosition)
      implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitSessionOpened(this);
    }
  }

  /**
   * Refuses to open a stage session.
   *
   * @param epoch refused epoch
   * @param stageIndex index of the sender in the chain
   */
  record SessionRefused(SessionId session, Epoch epoch, int stageIndex, RefusalReason reason)
      implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitSessionRefused(this);
    }
  }

  /**
   * Starts one position of a session at the first stage; position 0 is the prompt.
   *
   * @param epoch epoch of the chain
   * @param position position of the step
   * @param input prompt, or the token of the previous position
   */
  record StepInput(SessionId session, Epoch epoch, int position, Payload input) implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitStepInput(this);
    }
  }

  /**
   * Passes the output of a stage to the next stage.
   *
   * @param epoch epoch of the chain
   * @param position position of the step
   * @param payload output of the stage
   */
  record Activation(SessionId session, Epoch epoch, int position, Payload payload)
      implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitActivation(this);
    }
  }

  /**
   * Returns the token of one position from the last stage.
   *
   * @param epoch epoch of the chain
   * @param position position of the step
   * @param text text of the token
   * @param finish reason why the answer ends with this token, if it does
   */
  record Token(
      SessionId session, Epoch epoch, int position, String text, Option<FinishReason> finish)
      implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitToken(this);
    }
  }

  /**
   * Reports that a stage of a session cannot continue.
   *
   * @param epoch epoch of the chain
   * @param stageIndex index of the failed stage
   */
  record StageFailed(SessionId session, Epoch epoch, int stageIndex, RefusalReason reason)
      implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitStageFailed(this);
    }
  }

  /**
   * Asks a stage to send kept outputs again to the next stage.
   *
   * @param epoch epoch of the chain
   * @param fromPosition first position
   * @param toPositionExclusive position after the last one
   */
  record Replay(SessionId session, Epoch epoch, int fromPosition, int toPositionExclusive)
      implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitReplay(this);
    }
  }

  /** Ends a stage session and releases its memory. */
  record CloseSession(SessionId session) implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitCloseSession(this);
    }
  }

  /** Asks an agent to export the KV cache of a session for a new stage. */
  record CacheRequest(SessionId session) implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitCacheRequest(this);
    }
  }

  /**
   * Returns the KV cache of a session.
   *
   * @param nextPosition first position that the cache does not cover
   * @param cache exported KV cache, none if the agent has none to send
   * @param keptOutputs outputs of the last positions before nextPosition, as many as were sent
   */
  record CacheSnapshot(
      SessionId session, int nextPosition, Option<Payload> cache, Vector<Payload> keptOutputs)
      implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitCacheSnapshot(this);
    }
  }

  /**
   * Passes an order to the endpoint's engine.
   *
   * @param order unique id of the order
   * @param fencingNumber fencing number of the controller lease
   * @param action change that the engine has to make
   */
  record Order(AttemptId order, FencingNumber fencingNumber, EngineOrder action)
      implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitOrder(this);
    }
  }

  /**
   * Reports the result of an order.
   *
   * @param order unique id of the order
   * @param outcome result
   * @param detail human-readable explanation
   */
  record OrderResult(AttemptId order, OrderOutcome outcome, String detail) implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitOrderResult(this);
    }
  }

  /**
   * Asks a peer for its accepted configuration.
   *
   * @param known generation that the sender already has
   */
  record ConfigurationRequest(Generation known) implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitConfigurationRequest(this);
    }
  }

  /**
   * Returns an accepted configuration.
   *
   * @param generation generation of the snapshot
   * @param snapshot serialised snapshot
   */
  record ConfigurationSnapshot(Generation generation, Payload snapshot) implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitConfigurationSnapshot(this);
    }
  }

  /**
   * Passes the platform's VM list to an entry that does not poll.
   *
   * @param version version of the list, increasing
   * @param vms VMs of the list
   */
  record VmListSnapshot(long version, Vector<VmEntry> vms) implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitVmListSnapshot(this);
    }
  }

  /**
   * Passes service-level counts to the entry that merges those of a data centre.
   *
   * @param source entry that counted
   * @param sequence sequence number of the interval
   * @param counts serialised counts
   */
  record ObjectiveCounts(String source, long sequence, Payload counts) implements Message {
    @Override
    public <R> R accept(MessageVisitor<R> visitor) {
      return visitor.visitObjectiveCounts(this);
    }
  }
}
