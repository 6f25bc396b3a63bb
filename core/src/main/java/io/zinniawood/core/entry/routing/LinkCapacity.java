package io.zinniawood.core.entry.routing;

import io.zinniawood.core.id.DataCentreId;

/** Capacity of the links between pairs of data centres. */
@FunctionalInterface
public interface LinkCapacity {
  /** Links of infinite capacity. */
  LinkCapacity UNLIMITED = (from, to) -> Double.POSITIVE_INFINITY;

  /**
   * Returns the capacity in tokens per second; 0 or less if there is no link.
   *
   * @param from data centre of the sending stage
   * @param to data centre of the receiving stage
   */
  double tokensPerSecond(DataCentreId from, DataCentreId to);
}
