package io.zinniawood.engine;

import io.vavr.control.Either;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.model.ServiceCall;
import java.util.concurrent.CompletableFuture;

/** Client of a plain service. Sends each call once, without retries. */
public interface PlainServiceClient {
  /**
   * Calls the service. Any HTTP status is an answer.
   *
   * @param call the call
   * @param timeoutMillis time to wait for the answer in milliseconds
   */
  CompletableFuture<Either<EngineError, ServiceAnswer>> call(ServiceCall call, long timeoutMillis);

  /** Checks whether the service answers. */
  CompletableFuture<Either<EngineError, Boolean>> checkHealth();
}
