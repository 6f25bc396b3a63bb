package io.zinniawood.engine;

import io.vavr.control.Either;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.model.ServiceCall;
import java.util.concurrent.CompletableFuture;

/** Client of a plain service. Sends each call once, without retries. */
public interface PlainServiceClient {
  /**
   * Calls the service. A response with any HTTP status, also 4xx and 5xx, is an answer.
   *
   * @param call request to send
   * @param timeoutMillis timeout of the whole call in milliseconds
   */
  CompletableFuture<Either<EngineError, ServiceAnswer>> call(ServiceCall call, long timeoutMillis);

  /** Checks whether the service reports itself as healthy. */
  CompletableFuture<Either<EngineError, Boolean>> checkHealth();
}
