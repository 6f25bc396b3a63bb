package io.zinniawood.core.route;

import io.zinniawood.core.id.AcceleratorKind;
import java.util.Map;
import java.util.Optional;

/**
 * Timing and memory of a service's model engines. Times are of a whole model on the base
 * accelerator.
 *
 * @param layers layers of the model
 * @param layerMegabytes memory of one layer in megabytes
 * @param modelLoadSeconds time to load all layers, in seconds
 * @param maxConcurrentLoads loads that run side by side without slowing each other
 * @param stepMillis time of one token step in milliseconds
 * @param stepMillisPerRequest time that each request in a step adds, in milliseconds
 * @param stepMillisPerContextToken time that each token of context adds to a step, in milliseconds
 * @param stepsPerPass token steps of one pass
 * @param prefillTokensPerSecond prompt tokens read in a second
 * @param kvCacheBytesPerToken memory of one token in all layers, in bytes
 * @param activationBytesPerToken bytes that one token hands to the next endpoint
 * @param linkMegabitsPerSecond bandwidth of the pipe between two data centres
 * @param meanPromptTokens mean prompt in tokens
 * @param meanAnswerTokens mean answer in tokens
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
  /** Copies the accelerators. */
  public EngineProfile {
    accelerators = Map.copyOf(accelerators);
  }

  /** Returns the accelerator of a kind; none if the profile does not list it. */
  public Optional<AcceleratorProfile> accelerator(AcceleratorKind kind) {
    return Optional.ofNullable(accelerators.get(kind));
  }

  /**
   * Returns the time of one pass through one layer in milliseconds.
   *
   * @param accelerator accelerator of the endpoint
   * @param requests requests that write in the pass
   * @param contextTokens tokens of all of them
   */
  public double passMillisPerLayer(
      AcceleratorProfile accelerator, double requests, double contextTokens) {
    double step =
        stepMillis + requests * stepMillisPerRequest + contextTokens * stepMillisPerContextToken;
    return step * stepsPerPass * accelerator.stepTimeFactor() / layers;
  }

  /** Tells whether an accelerator is much slower than the fastest kind of the profile. */
  public boolean isSlow(AcceleratorProfile accelerator) {
    double fastest = accelerator.stepTimeFactor();
    for (AcceleratorProfile other : accelerators.values()) {
      fastest = Math.min(fastest, other.stepTimeFactor());
    }
    return accelerator.stepTimeFactor() > SLOW_STEP_TIME_RATIO * fastest;
  }

  /** Steps of a slow accelerator take longer than the fastest kind's by more than this factor. */
  private static final double SLOW_STEP_TIME_RATIO = 3;

  /** Returns the time to read a prompt through one layer in milliseconds. */
  public double prefillMillisPerLayer(AcceleratorProfile accelerator, int promptTokens) {
    return 1_000.0
        * promptTokens
        / prefillTokensPerSecond
        * accelerator.prefillTimeFactor()
        / layers;
  }

  /** Returns the time for which tokens hold the pipe between two data centres, in milliseconds. */
  public double linkTransferMillis(double tokens) {
    return linkMegabitsPerSecond <= 0
        ? 0
        : tokens
            * activationBytesPerToken
            * BITS_PER_BYTE
            / (linkMegabitsPerSecond * BITS_PER_MILLISECOND_PER_MBPS);
  }

  private static final double BITS_PER_BYTE = 8;

  /** Bits that a bandwidth of one megabit a second carries in a millisecond. */
  private static final double BITS_PER_MILLISECOND_PER_MBPS = 1_000;

  /** Returns the tokens that fit beside a number of layers. */
  public double tokenCapacity(AcceleratorProfile accelerator, int heldLayers) {
    double freeBytes =
        (accelerator.memoryMegabytes() - heldLayers * layerMegabytes) * BYTES_PER_MEGABYTE;
    return freeBytes / (kvCacheBytesPerToken / layers * heldLayers);
  }

  private static final double BYTES_PER_MEGABYTE = 1_000_000;
}
