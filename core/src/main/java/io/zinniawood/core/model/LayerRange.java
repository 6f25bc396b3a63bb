package io.zinniawood.core.model;

/**
 * Consecutive layers of a model.
 *
 * @param fromLayer first layer, counted from 0
 * @param toLayerExclusive layer after the last one
 */
public record LayerRange(int fromLayer, int toLayerExclusive) {
  /** Checks that the range is not empty. */
  public LayerRange {
    if (fromLayer < 0 || toLayerExclusive <= fromLayer) {
      throw new IllegalArgumentException(
          "layer range [%d, %d) is empty or negative".formatted(fromLayer, toLayerExclusive));
    }
  }

  /** Returns the number of layers. */
  public int layers() {
    return toLayerExclusive - fromLayer;
  }
}
