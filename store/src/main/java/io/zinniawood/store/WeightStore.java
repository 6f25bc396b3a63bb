package io.zinniawood.store;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/** The platform's rate-limited store of model weights. */
public interface WeightStore {
  /**
   * Asks whether a transfer may start now.
   *
   * @param model model
   * @param version version of the weights
   */
  CompletableFuture<Either<PlatformError, TransferDecision>> requestTransfer(
      String model, String version);

  /** Answer of the weight store. */
  sealed interface TransferDecision {
    /** The transfer may start. */
    record Granted() implements TransferDecision {}

    /**
     * The rate limit is reached.
     *
     * @param retryAfterMillis wait in milliseconds
     */
    record Delayed(long retryAfterMillis) implements TransferDecision {}
  }
}
