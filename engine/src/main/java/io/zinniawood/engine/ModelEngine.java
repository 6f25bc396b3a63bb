package io.zinniawood.engine;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.EngineOrder;
import io.zinniawood.core.model.OrderOutcome;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;
import java.util.concurrent.CompletableFuture;

/**
 * Client of a model engine that holds a range of layers. Futures always complete normally; failures
 * are returned as {@link EngineError}.
 */
public interface ModelEngine {
  /** Reads the capability of the engine and its load, which may lag behind. */
  CompletableFuture<Either<EngineError, EngineStatus>> status();

  /**
   * Runs a batch of steps. The engine may combine them with steps of other batches.
   *
   * @param steps steps to run; steps of the same session must have consecutive positions
   */
  CompletableFuture<Either<EngineError, Vector<StepOutput>>> runSteps(Vector<StepRequest> steps);

  /** Cancels a session and releases its memory. */
  CompletableFuture<Either<EngineError, Boolean>> closeSession(SessionId session);

  /** Exports the KV cache of a session. */
  CompletableFuture<Either<EngineError, CacheExport>> exportCache(SessionId session);

  /** Imports a KV cache as the state of a session. */
  CompletableFuture<Either<EngineError, Boolean>> importCache(SessionId session, CacheExport cache);

  /**
   * Sends an order, such as to load a model.
   *
   * @param fencingNumber fencing number of the controller lease; some engines do not check it
   * @param order order to carry out
   */
  CompletableFuture<Either<EngineError, OrderOutcome>> sendOrder(
      FencingNumber fencingNumber, EngineOrder order);

  /**
   * One step of a session.
   *
   * @param session session that the step belongs to
   * @param position position of the step, 0 for the prompt
   * @param input prompt, token or activation
   * @param maxTokens maximum number of tokens of the answer
   * @param priority priority of the session
   */
  record StepRequest(
      SessionId session, int position, Payload input, int maxTokens, Priority priority) {}

  /**
   * KV cache of a session.
   *
   * @param nextPosition first position that the cache does not cover
   * @param cache cache content in a format that only engines interpret
   */
  record CacheExport(int nextPosition, Payload cache) {}
}
