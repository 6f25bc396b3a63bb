package io.zinniawood.store;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/** Client of the platform's rate-limited store of model weights. */
public interface WeightStore {
  /**
   * Requests permission to start a transfer of model weights.
   *
   * @param version version of the weights
   */
  CompletableFuture<Either<PlatformError, TransferDecision>> requestTransfer(
      String model, String version);

  /** Response of the weight store to a transfer request. */
  sealed interface TransferDecision {
    /** The transfer may start. */
    record Granted() implements TransferDecision {}

    /**
     * The rate limit is reached; the transfer may not start yet.
     *
     * @param retryAfterMillis time to wait before the next request, in milliseconds
     */
    record Delayed(long retryAfterMillis) implements TransferDecision {}
  }
}
