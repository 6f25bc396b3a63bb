package io.zinniawood.core.route;

import io.zinniawood.core.id.ServiceName;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Whether the routes and engines of a service call for the decisions of scarce capacity: its routes
 * compete with each other, or the links between its data centres carry few prompts.
 */
public final class ScarceCapacity {
  /**
   * Share of the shortest target latency that a mean prompt may occupy a link for. Three prompts in
   * a row would otherwise use a fifth of the target latency.
   */
  private static final double MAX_TRANSFER_PER_TARGET_LATENCY = 1.0 / 15;

  private ScarceCapacity() {}

  /** Returns the services of a table to which the decisions of scarce capacity apply. */
  static Set<ServiceName> services(Collection<Route> routes, Collection<RoutedService> services) {
    Set<ServiceName> scarce = new HashSet<>();
    for (RoutedService service : services) {
      Optional<EngineProfile> engine = service.engine();
      if (engine.isPresent() && applies(routes, service.name(), engine.get())) {
        scarce.add(service.name());
      }
    }
    return scarce;
  }

  private static boolean applies(
      Collection<Route> routes, ServiceName service, EngineProfile engine) {
    TreeSet<Integer> priorities = new TreeSet<>();
    long shortestTargetMillis = Long.MAX_VALUE;
    for (Route route : routes) {
      if (route.kind() == RouteKind.STREAMING && route.leadsTo(service)) {
        priorities.add(route.priority());
        shortestTargetMillis = Math.min(shortestTargetMillis, route.targetLatencyMillis());
      }
    }
    double transferMillis = engine.linkTransferMillis(engine.meanPromptTokens());
    return priorities.size() > 1
        || (!priorities.isEmpty()
            && transferMillis > MAX_TRANSFER_PER_TARGET_LATENCY * shortestTargetMillis);
  }
}
