package io.zinniawood.core.entry.lease;

import io.vavr.collection.Vector;
import io.zinniawood.core.model.LayerRange;

/** Counts the replicas of each layer of a model. */
public final class ReplicaCount {
  private final int[] replicas;

  /**
   * Counts.
   *
   * @param layers number of layers of the model
   * @param ranges one range for each replica
   */
  public ReplicaCount(int layers, Vector<LayerRange> ranges) {
    replicas = new int[layers];
    for (LayerRange range : ranges) {
      for (int layer = range.fromLayer();
          layer < Math.min(layers, range.toLayerExclusive());
          layer++) {
        replicas[layer]++;
      }
    }
  }

  /** Returns the fewest replicas of any layer of the range. */
  public int minReplicas(LayerRange range) {
    int fewest = Integer.MAX_VALUE;
    for (int layer = range.fromLayer();
        layer < Math.min(replicas.length, range.toLayerExclusive());
        layer++) {
      fewest = Math.min(fewest, replicas[layer]);
    }
    return fewest;
  }

  /** Returns the runs of layers that have fewer replicas than the minimum. */
  public Vector<LayerRange> rangesBelow(int minimum) {
    Vector<LayerRange> runs = Vector.empty();
    int from = 0;
    while (from < replicas.length) {
      int end = from;
      while (end < replicas.length && replicas[end] < minimum) {
        end++;
      }
      if (end > from) {
        runs = runs.append(new LayerRange(from, end));
      }
      from = end + 1;
    }
    return runs;
  }
}
