package io.zinniawood.core.load;

import io.zinniawood.core.fleet.TrackedEndpoint;

/** Estimates the load that all relays together bring to each endpoint. */
public final class FleetLoad {
  /**
   * Returns the load of an endpoint, assuming that all relays load it equally.
   *
   * @param relays number of live relays, including this one
   * @param nowNanos current monotonic time in nanoseconds
   */
  public EndpointLoad at(TrackedEndpoint endpoint, int relays, long nowNanos) {
    return new EndpointLoad(
        (double) endpoint.inFlight() * relays, (double) endpoint.tokensInFlight() * relays, 0);
  }
}
