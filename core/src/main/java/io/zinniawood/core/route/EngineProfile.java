package io.zinniawood.core.route;

import io.zinniawood.core.id.AcceleratorKind;
import java.util.Map;
import java.util.Optional;

/**
 * Timing and memory use of a service's model engines. Times are for the whole model on the base
 * accelerator; {@link AcceleratorProfile} scales them.
 *
 * @param layers number of layers of the model
 * @param layerMegabytes memory of one layer in megabytes
 * @param modelLoadSeconds time to load all layers in seconds
 * @param maxConcurrentLoads number of loads that run concurrently without slowing each other down
 * @param stepMillis time of one token step in milliseconds
 * @param stepMillisPerRequest additional time per request in a step, in milliseconds
 * @param stepMillisPerContextToken additional time per context token in a step, in milliseconds
 * @param stepsPerPass token steps in one pass
 * @param prefillTokensPerSecond prompt tokens read per second
 * @param kvCacheBytesPerToken key-value cache of one token over all layers, in bytes
 * @param activationBytesPerToken activation data per token sent to the next endpoint, in bytes
 * @param linkMegabitsPerSecond bandwidth of the link between two data centres; 0 or less if it is
 *     unlimited
 * @param meanPromptTokens mean prompt length in tokens
 * @param meanAnswerTokens mean answer length in tokens
 * @param accelerators accelerators by kind
 */
public record EngineProfile(
    int layers,
    double layerMegabytes,
    double modelLoadSeconds,
    int maxConcurrentLoads,
    double stepMillis,
    double stepMillisPerRequest,
    double stepMillisPerContextToken,
    int stepsPerPass,
    double prefillTokensPerSecond,
    double kvCacheBytesPerToken,
    double activationBytesPerToken,
    double linkMegabitsPerSecond,
    int meanPromptTokens,
    int meanAnswerTokens,
    Map<AcceleratorKind, AcceleratorProfile> accelerators) {
  public EngineProfile {
    accelerators = Map.copyOf(accelerators);
  }

  /** Returns the profile of an accelerator kind, or empty if it is not listed. */
  public Optional<AcceleratorProfile> accelerator(AcceleratorKind kind) {
    return Optional.ofNullable(accelerators.get(kind));
  }

  /**
   * Returns the time in milliseconds of one pass through one layer.
   *
   * @param accelerator profile of the endpoint's accelerator
   * @param requests number of requests that generate tokens in the pass
   * @param contextTokens total context tokens of these requests
   */
  public double passMillisPerLayer(
      AcceleratorProfile accelerator, double requests, double contextTokens) {
    double step =
        stepMillis + requests * stepMillisPerRequest + contextTokens * stepMillisPerContextToken;
    return step * stepsPerPass * accelerator.stepTimeFactor() / layers;
  }

  /** Returns whether the steps of an accelerator are much slower than those of the fastest kind. */
  public boolean isSlow(AcceleratorProfile accelerator) {
    double fastest = accelerator.stepTimeFactor();
    for (AcceleratorProfile other : accelerators.values()) {
      fastest = Math.min(fastest, other.stepTimeFactor());
    }
    return accelerator.stepTimeFactor() > SLOW_STEP_TIME_RATIO * fastest;
  }

  /** Step time, relative to the fastest kind, above which an accelerator counts as slow. */
  private static final double SLOW_STEP_TIME_RATIO = 3;

  /** Returns the time in milliseconds to read a prompt through one layer. */
  public double prefillMillisPerLayer(AcceleratorProfile accelerator, int promptTokens) {
    return 1_000.0
        * promptTokens
        / prefillTokensPerSecond
        * accelerator.prefillTimeFactor()
        / layers;
  }

  /** Returns the time in milliseconds for which tokens occupy the link between two data centres. */
  public double linkTransferMillis(double tokens) {
    return linkMegabitsPerSecond <= 0
        ? 0
        : tokens
            * activationBytesPerToken
            * BITS_PER_BYTE
            / (linkMegabitsPerSecond * BITS_PER_MILLISECOND_PER_MBPS);
  }

  private static final double BITS_PER_BYTE = 8;

  /** Bits per millisecond at a bandwidth of one megabit per second. */
  private static final double BITS_PER_MILLISECOND_PER_MBPS = 1_000;

  /** Returns the number of tokens that fit in memory beside a number of held layers. */
  public double tokenCapacity(AcceleratorProfile accelerator, int heldLayers) {
    double freeBytes =
        (accelerator.memoryMegabytes() - heldLayers * layerMegabytes) * BYTES_PER_MEGABYTE;
    return freeBytes / (kvCacheBytesPerToken / layers * heldLayers);
  }

  private static final double BYTES_PER_MEGABYTE = 1_000_000;
}
