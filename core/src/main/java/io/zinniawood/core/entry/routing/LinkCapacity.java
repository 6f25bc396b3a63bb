package io.zinniawood.core.entry.routing;

import io.zinniawood.core.id.DataCentreId;

/** Capacity of the links between two data centres. */
@FunctionalInterface
public interface LinkCapacity {
  /** Links that never limit the flow. */
  LinkCapacity UNLIMITED = (from, to) -> Double.POSITIVE_INFINITY;

  /**
   * Returns the capacity in tokens per second.
   *
   * @param from data centre of the sending stage
   * @param to data centre of the receiving stage
   */
  double tokensPerSecond(DataCentreId from, DataCentreId to);
}
