package io.zinniawood.core.path;

import io.zinniawood.core.id.DataCentreId;

/** Cost of a path hop from one data centre to another. */
@FunctionalInterface
public interface DataCentreHopCost {
  /**
   * Returns the cost in milliseconds, or positive infinity if paths must not use this hop.
   *
   * @param from data centre of the sending endpoint
   * @param to data centre of the receiving endpoint; differs from {@code from}
   */
  double millisBetween(DataCentreId from, DataCentreId to);
}
