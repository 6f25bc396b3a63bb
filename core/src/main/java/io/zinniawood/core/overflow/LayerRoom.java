package io.zinniawood.core.overflow;

import io.zinniawood.core.model.LayerRange;

/** Sums the memory for tokens of endpoints by layer. */
public final class LayerRoom {
  /** Changes of the sum from one layer to the next. */
  private final double[] changes;

  /** Creates an empty sum for a model with a number of layers. */
  public LayerRoom(int layers) {
    this.changes = new double[layers + 1];
  }

  /** Adds the tokens of an endpoint that holds layers. */
  public void add(LayerRange range, double tokens) {
    changes[Math.min(range.fromLayer(), changes.length - 1)] += tokens;
    changes[Math.min(range.toLayerExclusive(), changes.length - 1)] -= tokens;
  }

  /** Returns the tokens at the layer with the least of them. */
  public double least() {
    double sum = 0;
    double least = Double.POSITIVE_INFINITY;
    for (int layer = 0; layer < changes.length - 1; layer++) {
      sum += changes[layer];
      least = Math.min(least, sum);
    }
    return Math.max(0, least);
  }

  /** Returns the tokens at the layer with the most of them. */
  public double most() {
    double sum = 0;
    double most = 0;
    for (int layer = 0; layer < changes.length - 1; layer++) {
      sum += changes[layer];
      most = Math.max(most, sum);
    }
    return most;
  }

  /**
   * Returns the least tokens of this sum and a part of another one together.
   *
   * @param share part of the other sum, 0 to 1
   */
  public double leastWith(LayerRoom other, double share) {
    LayerRoom joined = new LayerRoom(changes.length - 1);
    for (int layer = 0; layer < changes.length; layer++) {
      joined.changes[layer] = changes[layer] + share * other.changes[layer];
    }
    return joined.least();
  }
}
