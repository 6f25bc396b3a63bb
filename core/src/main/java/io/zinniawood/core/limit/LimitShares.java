package io.zinniawood.core.limit;

import io.zinniawood.core.id.EndpointId;

/** Rule by which the processes that use an endpoint divide its limit. */
@FunctionalInterface
public interface LimitShares {
  /** Leaves nothing to this process. */
  LimitShares NOTHING = (endpoint, requestsPerSecond) -> 0;

  /**
   * Returns the share of this process, 0 to 1. The shares of all processes add up to 1 at most.
   *
   * @param requestsPerSecond limit of the endpoint, in requests a second
   */
  double shareOf(EndpointId endpoint, double requestsPerSecond);
}
