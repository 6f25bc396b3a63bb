package io.zinniawood.core.pace;

import io.zinniawood.core.load.EndpointLoad;

/**
 * Load of an endpoint for the pace limit. Without figures of the other relays, {@link
 * io.zinniawood.core.load.FleetLoad} multiplies the load of this relay by their number: with 32
 * relays, a single request counts as 32. That is right on average over all endpoints, but closes
 * the few that this relay happens to use. Such an estimate is replaced here: the other relays load
 * an endpoint like this relay loads all endpoints on average, or this one if that is less.
 *
 * @param relays number of live relays, including this one
 * @param meanOwnRequests mean number of this relay's requests at an endpoint of the service
 * @param meanOwnTokens mean number of tokens of these requests
 */
public record BoundedLoad(int relays, double meanOwnRequests, double meanOwnTokens) {
  /** Tolerated rounding error when an estimate is compared with the multiple of the own load. */
  private static final double ROUNDING_REQUESTS = 1e-6;

  /**
   * Returns the load of an endpoint, where an estimate from the own load alone is bounded.
   *
   * @param estimate load by all relays; it is an estimate from the own load alone if it is exactly
   *     that load times the number of relays
   */
  public EndpointLoad of(EndpointLoad estimate, int ownRequests, double ownTokens) {
    double multiple = (double) ownRequests * relays;
    if (Math.abs(estimate.requests() - multiple) > ROUNDING_REQUESTS) {
      return estimate;
    }
    int others = relays - 1;
    return new EndpointLoad(
        ownRequests + others * Math.min(meanOwnRequests, ownRequests),
        ownTokens + others * Math.min(meanOwnTokens, ownTokens),
        estimate.promptTokens());
  }
}
