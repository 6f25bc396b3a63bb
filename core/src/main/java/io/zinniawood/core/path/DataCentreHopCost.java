package io.zinniawood.core.path;

import io.zinniawood.core.id.DataCentreId;

/** Cost of a step of a path from one data centre to another. */
@FunctionalInterface
public interface DataCentreHopCost {
  /**
   * Returns the cost in the unit of the candidates' times; infinite if no path may cross here.
   *
   * @param from data centre of the part before
   * @param to data centre of the part after; another one
   */
  double millisBetween(DataCentreId from, DataCentreId to);
}
