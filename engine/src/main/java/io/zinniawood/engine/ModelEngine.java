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

/** A model engine that holds a range of layers. Futures complete normally; failures are values. */
public interface ModelEngine {
  /** Reads what the engine holds and its load, which lags behind. */
  CompletableFuture<Either<EngineError, EngineStatus>> status();

  /**
   * Runs a batch of steps; the engine batches them with its other work.
   *
   * @param steps steps; several steps of one session have consecutive positions
   */
  CompletableFuture<Either<EngineError, Vector<StepOutput>>> runSteps(Vector<StepRequest> steps);

  /** Cancels a session and releases its memory. */
  CompletableFuture<Either<EngineError, Boolean>> closeSession(SessionId session);

  /** Exports the KV cache of a session. */
  CompletableFuture<Either<EngineError, CacheExport>> exportCache(SessionId session);

  /** Imports a KV cache as the state of a session. */
  CompletableFuture<Either<EngineError, Boolean>> importCache(SessionId session, CacheExport cache);

  /**
   * Gives an order.
   *
   * @param fencingNumber fencing number of the controller lease; some engines ignore it
   * @param order the order
   */
  CompletableFuture<Either<EngineError, OrderOutcome>> sendOrder(
      FencingNumber fencingNumber, EngineOrder order);

  /**
   * One step of a session.
   *
   * @param session session
   * @param position position of the step, 0 for the prompt
   * @param input prompt, token or activation
   * @param maxTokens most tokens of the answer
   * @param priority priority of the session
   */
  record StepRequest(
      SessionId session, int position, Payload input, int maxTokens, Priority priority) {}

  /**
   * KV cache of a session.
   *
   * @param nextPosition first position that the cache does not cover
   * @param cache opaque cache
   */
  record CacheExport(int nextPosition, Payload cache) {}
}
