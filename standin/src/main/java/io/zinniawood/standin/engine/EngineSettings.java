package io.zinniawood.standin.engine;

import java.net.URI;
import java.util.Optional;

/**
 * Settings of an engine stand-in.
 *
 * @param port TCP port on loopback, 0 for a free one
 * @param parameters model that the engine serves at the start
 * @param fromLayer first layer of the range that it serves
 * @param toLayerExclusive layer after the last one of that range
 * @param accelerator kind of accelerator that the engine reports
 * @param speed speed of the accelerator
 * @param limits limits on batches, sessions and memory
 * @param delays delays of events, load reports and model loads
 * @param fencing whether orders with a stale fencing number are refused
 * @param platform base URI of the platform whose weight store has to grant each model load; without
 *     it loads start at once
 */
public record EngineSettings(
    int port,
    ModelParameters parameters,
    int fromLayer,
    int toLayerExclusive,
    String accelerator,
    EngineSpeed speed,
    Limits limits,
    Delays delays,
    Fencing fencing,
    Optional<URI> platform) {
  /** Whether the engine checks the fencing numbers of orders. */
  public enum Fencing {
    /** Orders with a fencing number below the highest one seen are refused. */
    CHECKED,
    /** Fencing numbers are ignored. */
    IGNORED
  }

  /**
   * Limits on batches, sessions and the prefix cache.
   *
   * @param maxBatchSteps maximum number of steps in a batch
   * @param prefillChunkTokens maximum number of prompt tokens in a batch; a longer prompt takes
   *     several batches
   * @param maxSessions maximum number of sessions with state
   * @param prefixCacheTokens capacity of the prefix cache in prompt tokens
   */
  public record Limits(
      int maxBatchSteps, int prefillChunkTokens, int maxSessions, int prefixCacheTokens) {
    /** Returns 64 steps, 512 tokens, 256 sessions and 16,384 cached tokens. */
    public static Limits defaults() {
      return new Limits(64, 512, 256, 16_384);
    }
  }

  /**
   * Simulated delays and losses of events.
   *
   * @param eventDelayMillis delay in milliseconds until a cache event can be read
   * @param lostEventInterval every nth cache event is lost; 0 for none
   * @param loadReportIntervalMillis interval in milliseconds at which load reports are refreshed; 0
   *     for current values
   * @param loadMillisPerLayer time to load the weights of a layer in milliseconds
   */
  public record Delays(
      long eventDelayMillis,
      int lostEventInterval,
      long loadReportIntervalMillis,
      long loadMillisPerLayer) {
    /** Returns settings without delay. */
    public static Delays none() {
      return new Delays(0, 0, 0, 0);
    }
  }

  /** Checks that the layer range lies within the model. */
  public EngineSettings {
    if (fromLayer < 0 || toLayerExclusive <= fromLayer || toLayerExclusive > parameters.layers()) {
      throw new IllegalArgumentException(
          "layer range [%d, %d) must be non-empty and lie within the model's %d layers"
              .formatted(fromLayer, toLayerExclusive, parameters.layers()));
    }
  }

  /** Returns settings with unlimited speed, default limits and no delays, on a free port. */
  public static EngineSettings unlimited(
      ModelParameters parameters, int fromLayer, int toLayerExclusive) {
    return new EngineSettings(
        0,
        parameters,
        fromLayer,
        toLayerExclusive,
        "large",
        EngineSpeed.unlimited(),
        Limits.defaults(),
        Delays.none(),
        Fencing.CHECKED,
        Optional.empty());
  }

  /** Returns the settings with another speed. */
  public EngineSettings withSpeed(EngineSpeed newSpeed) {
    return new EngineSettings(
        port,
        parameters,
        fromLayer,
        toLayerExclusive,
        accelerator,
        newSpeed,
        limits,
        delays,
        fencing,
        platform);
  }

  /** Returns the settings with other limits. */
  public EngineSettings withLimits(Limits newLimits) {
    return new EngineSettings(
        port,
        parameters,
        fromLayer,
        toLayerExclusive,
        accelerator,
        speed,
        newLimits,
        delays,
        fencing,
        platform);
  }

  /** Returns the settings with other delays. */
  public EngineSettings withDelays(Delays newDelays) {
    return new EngineSettings(
        port,
        parameters,
        fromLayer,
        toLayerExclusive,
        accelerator,
        speed,
        limits,
        newDelays,
        fencing,
        platform);
  }

  /** Returns the settings with another handling of fencing numbers. */
  public EngineSettings withFencing(Fencing newFencing) {
    return new EngineSettings(
        port,
        parameters,
        fromLayer,
        toLayerExclusive,
        accelerator,
        speed,
        limits,
        delays,
        newFencing,
        platform);
  }

  /** Returns the settings with a platform whose weight store has to grant each model load. */
  public EngineSettings withPlatform(URI newPlatform) {
    return new EngineSettings(
        port,
        parameters,
        fromLayer,
        toLayerExclusive,
        accelerator,
        speed,
        limits,
        delays,
        fencing,
        Optional.of(newPlatform));
  }
}
