package io.zinniawood.core.path;

/**
 * Costs of a path in addition to the pass times of its candidates.
 *
 * @param partMillis cost of each part in milliseconds: one handover and one wait for a pass
 * @param dataCentreHop cost of a part in a different data centre than the previous part
 * @param entryHop cost of a first part in a different data centre than the caller's entry
 */
public record PathCosts(
    double partMillis, DataCentreHopCost dataCentreHop, DataCentreHopCost entryHop) {
  /**
   * Creates costs where a first part in any other data centre costs the same.
   *
   * @param entryHopMillis cost in milliseconds of a first part in a different data centre than the
   *     caller's entry
   */
  public PathCosts(double partMillis, DataCentreHopCost dataCentreHop, double entryHopMillis) {
    this(partMillis, dataCentreHop, (from, to) -> entryHopMillis);
  }
}
