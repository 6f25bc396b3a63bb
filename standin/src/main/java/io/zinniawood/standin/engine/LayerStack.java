package io.zinniawood.standin.engine;

import java.nio.ByteBuffer;

/**
 * State of one session on consecutive layers: one hash for each layer, which represents its KV
 * cache. Each position updates every state, so a missing, repeated or reordered position changes
 * all later activations.
 */
final class LayerStack {
  private final long seed;
  private final int fromLayer;
  private final long[] states;
  private int nextPosition;

  LayerStack(ModelParameters parameters, int fromLayer, int toLayerExclusive) {
    this.seed = parameters.seed();
    this.fromLayer = fromLayer;
    this.states = new long[toLayerExclusive - fromLayer];
  }

  /** Runs one position through the layers and returns the activation after the last one. */
  long run(int position, long activation) {
    long value = activation;
    for (int i = 0; i < states.length; i++) {
      int layer = fromLayer + i;
      states[i] = Hashing.mix(states[i], Hashing.mix(value, position));
      value = Hashing.mix(Hashing.mix(value, seed + layer), states[i]);
    }
    nextPosition = position + 1;
    return value;
  }

  int nextPosition() {
    return nextPosition;
  }

  /** Serialises the states with the seed and the layer range, which an import checks. */
  byte[] export() {
    ByteBuffer buffer = ByteBuffer.allocate(16 + 8 * states.length);
    buffer.putLong(seed).putInt(fromLayer).putInt(states.length);
    for (long state : states) {
      buffer.putLong(state);
    }
    return buffer.array();
  }

  /**
   * Replaces the states with exported ones.
   *
   * @throws IllegalArgumentException if the model or the layer range differs
   */
  void restore(byte[] cache, int cacheNextPosition) {
    ByteBuffer buffer = ByteBuffer.wrap(cache);
    boolean matches =
        cache.length == 16 + 8 * states.length
            && buffer.getLong() == seed
            && buffer.getInt() == fromLayer
            && buffer.getInt() == states.length;
    if (!matches || cacheNextPosition < 0) {
      throw new IllegalArgumentException(
          "the KV cache is from another model or layer range, or its next position %d is negative"
              .formatted(cacheNextPosition));
    }
    for (int i = 0; i < states.length; i++) {
      states[i] = buffer.getLong();
    }
    nextPosition = cacheNextPosition;
  }
}
