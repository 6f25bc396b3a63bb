package io.zinniawood.core.load;

import java.util.List;

/**
 * Load that one relay brings to the endpoints of a service.
 *
 * @param service hash of the name of the service; see {@link LoadHashes}
 * @param totals sums over all endpoints of the service
 * @param endpointCount number of endpoints of the service that the relay knows
 * @param arrivalsPerSecond requests that the relay sends to the service per second
 * @param endpoints figures of endpoints; some of them if there are many
 */
public record ServiceLoad(
    int service,
    LoadFigures totals,
    int endpointCount,
    int arrivalsPerSecond,
    List<EndpointFigures> endpoints) {
  /** Checks the counts and makes an unmodifiable copy of the list. */
  public ServiceLoad {
    if (endpointCount < 0 || arrivalsPerSecond < 0) {
      throw new IllegalArgumentException("negative count in the load of a service");
    }
    endpoints = List.copyOf(endpoints);
  }
}
