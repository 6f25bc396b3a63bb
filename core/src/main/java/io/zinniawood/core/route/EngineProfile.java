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
 * @param loadSeconds time to load all layers, in seconds
 * @param loadsAtOnce loads that run side by side without slowing each other
 * @param stepMillis time of one token step in milliseconds
 * @param stepMillisPerRequest time that each request in a step adds, in milliseconds
 * @param stepMillisPerContextToken time that each token of context adds to a step, in milliseconds
 * @param stepsPerPass token steps of one pass
 * @param readTokensPerSecond prompt tokens read in a second
 * @param tokenCacheBytes memory of one token in all layers, in bytes
 * @param activationBytes bytes that one token hands to the next endpoint
 * @param pipeMegabitsPerSecond bandwidth of the pipe between two data centres
 * @param usualPromptTokens mean prompt in tokens
 * @param usualAnswerTokens mean answer in tokens
 * @param accelerators accelerators by kind
 */
public record EngineProfile(
    int layers,
    double layerMegabytes,
    double loadSeconds,
    int loadsAtOnce,
    double stepMillis,
    double stepMillisPerRequest,
    double stepMillisPerContextToken,
    int stepsPerPass,
    double readTokensPerSecond,
    double tokenCacheBytes,
    double activationBytes,
    double pipeMegabitsPerSecond,
    int usualPromptTokens,
    int usualAnswerTokens,
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
    return step * stepsPerPass * accelerator.stepFactor() / layers;
  }

  /** Tells whether an accelerator is much slower than the fastest kind of the profile. */
  public boolean isSlow(AcceleratorProfile accelerator) {
    double fastest = accelerator.stepFactor();
    for (AcceleratorProfile other : accelerators.values()) {
      fastest = Math.min(fastest, other.stepFactor());
    }
    return accelerator.stepFactor() > SLOW_FACTOR * fastest;
  }

  /** Steps of a slow accelerator take longer than the fastest kind's by more than this factor. */
  private static final double SLOW_FACTOR = 3;

  /** Returns the time to read a prompt through one layer in milliseconds. */
  public double readMillisPerLayer(AcceleratorProfile accelerator, int promptTokens) {
    return 1_000.0 * promptTokens / readTokensPerSecond * accelerator.readFactor() / layers;
  }

  /** Returns the time for which tokens hold the pipe between two data centres, in milliseconds. */
  public double pipeMillis(double tokens) {
    return pipeMegabitsPerSecond <= 0
        ? 0
        : tokens * activationBytes * BITS_PER_BYTE / (pipeMegabitsPerSecond * BITS_PER_KILOBIT);
  }

  private static final double BITS_PER_BYTE = 8;

  /** Bits that a bandwidth of one megabit a second carries in a millisecond. */
  private static final double BITS_PER_KILOBIT = 1_000;

  /** Returns the tokens that fit beside a number of layers. */
  public double tokensBeside(AcceleratorProfile accelerator, int heldLayers) {
    double freeBytes =
        (accelerator.memoryMegabytes() - heldLayers * layerMegabytes) * BYTES_PER_MEGABYTE;
    return freeBytes / (tokenCacheBytes / layers * heldLayers);
  }

  private static final double BYTES_PER_MEGABYTE = 1_000_000;
}
