package io.zinniawood.standin.engine;

/**
 * Parameters of a deterministic model.
 *
 * @param model name of the model
 * @param version version of the weights; versions give different answers
 * @param layers number of layers
 * @param stopEvery average number of tokens after which the model ends an answer; 0 for never
 */
public record ModelParameters(String model, String version, int layers, int stopEvery) {
  /** Checks that the numbers are in range. */
  public ModelParameters {
    if (layers < 1 || stopEvery < 0) {
      throw new IllegalArgumentException(
          "layers must be at least 1 and stopEvery at least 0, but are %d and %d"
              .formatted(layers, stopEvery));
    }
  }

  long seed() {
    return Hashing.mix(Hashing.ofText(model), Hashing.ofText(version));
  }
}
