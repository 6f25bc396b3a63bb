package io.zinniawood.standin.engine;

import java.net.URI;
import java.util.Optional;

/**
 * Settings of an engine stand-in.
 *
 * @param port TCP port on loopback, 0 for a free one
 * @param parameters model that the engine holds at the start
 * @param fromLayer first layer of its range
 * @param toLayerExclusive layer after the last one of its range
 * @param accelerator kind of accelerator that the engine reports
 * @param speed speed of the accelerator
 * @param limits limits on batches, sessions and memory
 * @param delays delays of events, load reports and loads
 * @param fencing whether orders with an old fencing number are refused
 * @param platform base URI of the platform, whose weight store loads ask first
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
  /** Tells whether the engine checks fencing numbers. */
  public enum Fencing {
    /** Orders with a lower number than one seen before are refused. */
    CHECKED,
    /** The number is ignored. */
    IGNORED
  }

  /**
   * Limits.
   *
   * @param maxBatchSteps most steps of one batch
   * @param prefillChunkTokens most prompt tokens of one batch; longer prompts take several
   * @param maxSessions most sessions with state
   * @param prefixCacheTokens prompt tokens that the prefix cache keeps
   */
  public record Limits(
      int maxBatchSteps, int prefillChunkTokens, int maxSessions, int prefixCacheTokens) {
    /** Returns 64 steps, 512 tokens, 256 sessions and 16,384 cached tokens. */
    public static Limits defaults() {
      return new Limits(64, 512, 256, 16_384);
    }
  }

  /**
   * Delays.
   *
   * @param eventDelayMillis time until a cache event can be read, in milliseconds
   * @param lostEventInterval every nth cache event is lost, 0 for none
   * @param loadReportIntervalMillis interval of load reports in milliseconds, 0 for present values
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

  /** Checks the layer range. */
  public EngineSettings {
    if (fromLayer < 0 || toLayerExclusive <= fromLayer || toLayerExclusive > parameters.layers()) {
      throw new IllegalArgumentException(
          "layer range [%d, %d) does not fit %d layers"
              .formatted(fromLayer, toLayerExclusive, parameters.layers()));
    }
  }

  /** Returns settings without delay on a free port. */
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
  public EngineSettings withDelays(Delays newLag) {
    return new EngineSettings(
        port,
        parameters,
        fromLayer,
        toLayerExclusive,
        accelerator,
        speed,
        limits,
        newLag,
        fencing,
        platform);
  }

  /** Returns the settings with another treatment of fencing numbers. */
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

  /** Returns the settings with a platform whose weight store loads ask first. */
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
