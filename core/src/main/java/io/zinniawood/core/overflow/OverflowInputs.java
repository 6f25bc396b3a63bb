package io.zinniawood.core.overflow;

import java.util.List;

/**
 * What the shares of a service are decided on.
 *
 * @param home room of the own data centre
 * @param others the other data centres with endpoints of the service
 * @param requestTokens tokens of a request of mean size
 * @param waitMillis expected wait of a new request in the own data centre, in milliseconds
 * @param targetLatencyMillis shortest target latency of the routes of the service, in milliseconds
 * @param leavingCostMillis cost of a whole path elsewhere, in milliseconds
 */
public record OverflowInputs(
    DataCentreRoom home,
    List<RemoteDataCentre> others,
    double requestTokens,
    double waitMillis,
    double targetLatencyMillis,
    double leavingCostMillis) {
  public OverflowInputs {
    others = List.copyOf(others);
  }

  /** Returns whether the own data centre has no room for another request. */
  boolean homeFull() {
    return home.freeTokens() < requestTokens;
  }
}
