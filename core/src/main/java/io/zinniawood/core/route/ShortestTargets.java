package io.zinniawood.core.route;

import io.zinniawood.core.id.ServiceName;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** Shortest targets of the routes to each service. */
final class ShortestTargets {
  private final Map<ServiceName, Long> gapMillis = new HashMap<>();
  private final Map<ServiceName, Long> latencyMillis = new HashMap<>();

  ShortestTargets(Collection<Route> routes) {
    for (Route route : routes) {
      for (ServiceShare share : route.shares()) {
        latencyMillis.merge(share.service(), route.targetLatencyMillis(), Math::min);
        if (route.targetGapMillis() > 0) {
          gapMillis.merge(share.service(), route.targetGapMillis(), Math::min);
        }
      }
    }
  }

  /** Returns the shortest target for the pause between events; 0 if no route has one. */
  long targetGapMillis(ServiceName service) {
    return gapMillis.getOrDefault(service, 0L);
  }

  /** Returns the shortest target latency; empty if no route leads to the service. */
  OptionalLong targetLatencyMillis(ServiceName service) {
    Long millis = latencyMillis.get(service);
    return millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
  }
}
