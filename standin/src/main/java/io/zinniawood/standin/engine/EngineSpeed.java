package io.zinniawood.standin.engine;

/**
 * Speed of an accelerator. Speeds are given for a single layer; n layers run at 1/n of them.
 *
 * @param decodeLayerTokensPerSecond generated tokens per second of one layer; 0 for no delay
 * @param prefillLayerTokensPerSecond prompt tokens per second of one layer; 0 for no delay
 * @param batchOverheadMicros time added to each batch in microseconds
 */
public record EngineSpeed(
    double decodeLayerTokensPerSecond,
    double prefillLayerTokensPerSecond,
    long batchOverheadMicros) {
  /** Returns a speed without delay, for tests. */
  public static EngineSpeed unlimited() {
    return new EngineSpeed(0, 0, 0);
  }

  /**
   * Returns the speed of an accelerator kind: {@code large}, {@code medium}, {@code small} or
   * {@code tiny}.
   *
   * @throws IllegalArgumentException if the kind is unknown
   */
  public static EngineSpeed ofKind(String kind) {
    return switch (kind) {
      case "large" -> new EngineSpeed(64_000, 640_000, 500);
      case "medium" -> new EngineSpeed(32_000, 320_000, 500);
      case "small" -> new EngineSpeed(16_000, 160_000, 800);
      case "tiny" -> new EngineSpeed(8_000, 80_000, 1_000);
      default ->
          throw new IllegalArgumentException(
              "accelerator kind must be large, medium, small or tiny, but is " + kind);
    };
  }

  /** Returns the decode throughput of a number of layers; nominal if there is no delay. */
  double decodeTokensPerSecond(int layers) {
    // The router's flow computation needs a finite capacity, also of an engine without delay.
    return (decodeLayerTokensPerSecond > 0 ? decodeLayerTokensPerSecond : 1_000_000) / layers;
  }

  long costNanos(int layers, int decodeTokens, int prefillTokens) {
    double seconds = batchOverheadMicros / 1e6;
    if (decodeLayerTokensPerSecond > 0) {
      seconds += decodeTokens * (double) layers / decodeLayerTokensPerSecond;
    }
    if (prefillLayerTokensPerSecond > 0) {
      seconds += prefillTokens * (double) layers / prefillLayerTokensPerSecond;
    }
    return (long) (seconds * 1e9);
  }
}
