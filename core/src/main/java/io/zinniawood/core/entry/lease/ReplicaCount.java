package io.zinniawood.core.entry.lease;

import io.vavr.collection.Vector;
import io.zinniawood.core.model.LayerRange;

/** Counts the replicas of each layer of a model. */
public final class ReplicaCount {
  private final int[] replicas;

  /**
   * Counts the replicas; layers beyond the end of the model are ignored.
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

  /** Returns the lowest number of replicas of any layer of the range. */
  public int minReplicas(LayerRange range) {
    int lowest = Integer.MAX_VALUE;
    for (int layer = range.fromLayer();
        layer < Math.min(replicas.length, range.toLayerExclusive());
        layer++) {
      lowest = Math.min(lowest, replicas[layer]);
    }
    return lowest;
  }

  /** Returns the contiguous ranges of layers that have fewer replicas than the minimum. */
  public Vector<LayerRange> rangesBelow(int minimum) {
    Vector<LayerRange> ranges = Vector.empty();
    int from = 0;
    while (from < replicas.length) {
      int end = from;
      while (end < replicas.length && replicas[end] < minimum) {
        end++;
      }
      if (end > from) {
        ranges = ranges.append(new LayerRange(from, end));
      }
      from = end + 1;
    }
    return ranges;
  }
}
