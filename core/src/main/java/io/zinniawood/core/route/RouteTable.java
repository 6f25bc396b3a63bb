package io.zinniawood.core.route;

import io.zinniawood.core.id.ServiceName;
import java.util.Collection;
import java.util.HashMap;
import java.util.IntSummaryStatistics;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** One version of the routes, services, API keys and limits. Immutable. */
public final class RouteTable {
  private final long version;
  private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
  private final Map<ServiceName, RoutedService> services = new HashMap<>();
  private final boolean keysRequired;
  private final Map<String, ApiKeyHolder> accountsByKey;
  private final RequestLimits limits;
  private final Set<ServiceName> scarceServices;
  private final Map<ServiceName, Integer> urgentPriorities = new HashMap<>();
  private final ShortestTargets shortestTargets;

  /**
   * Creates a table.
   *
   * @param version version number; a table replaces those with lower numbers
   * @param keysRequired whether requests need an API key, except on routes that allow anonymous
   *     requests
   * @param accountsByKey client accounts by API key
   * @param limits limits on the requests of callers
   */
  public RouteTable(
      long version,
      List<Route> routes,
      List<RoutedService> services,
      boolean keysRequired,
      Map<String, ApiKeyHolder> accountsByKey,
      RequestLimits limits) {
    this.version = version;
    for (Route route : routes) {
      routesByHost
          .computeIfAbsent(route.host(), host -> new HashMap<>())
          .put(route.pathPrefix(), route);
    }
    services.forEach(service -> this.services.put(service.name(), service));
    this.keysRequired = keysRequired;
    this.accountsByKey = Map.copyOf(accountsByKey);
    this.limits = limits;
    this.shortestTargets = new ShortestTargets(routes);
    this.scarceServices = ScarceCapacity.services(routes, services);
    services.forEach(service -> findUrgentPriority(service.name(), routes));
  }

  private void findUrgentPriority(ServiceName service, List<Route> routes) {
    IntSummaryStatistics priorities =
        routes.stream()
            .filter(route -> route.leadsTo(service))
            .mapToInt(Route::priority)
            .summaryStatistics();
    if (priorities.getCount() > 0 && priorities.getMin() < priorities.getMax()) {
      urgentPriorities.put(service, priorities.getMin());
    }
  }

  public long version() {
    return version;
  }

  /** Returns the priority of the most urgent routes of a service; empty if all have the same. */
  public Optional<Integer> urgentPriority(ServiceName service) {
    return Optional.ofNullable(urgentPriorities.get(service));
  }

  /** Returns the limits on the requests of callers. */
  public RequestLimits limits() {
    return limits;
  }

  /** Returns whether the decisions of {@link ScarceCapacity} apply to a service. */
  public boolean capacityScarce(ServiceName service) {
    return scarceServices.contains(service);
  }

  /** Returns whether the decisions of {@link ScarceCapacity} apply to any service. */
  public boolean capacityScarce() {
    return !scarceServices.isEmpty();
  }

  /**
   * Returns the shortest target for the pause between events of the routes to a service, in
   * milliseconds; 0 if none has such a target.
   */
  public long shortestTargetGapMillis(ServiceName service) {
    return shortestTargets.targetGapMillis(service);
  }

  /** Returns the shortest target latency of the routes to a service; empty if it has no route. */
  public OptionalLong shortestTargetLatencyMillis(ServiceName service) {
    return shortestTargets.targetLatencyMillis(service);
  }

  /** Returns all services. */
  public Collection<RoutedService> services() {
    return services.values();
  }

  /** Returns the service with a name, or empty if this table has none of that name. */
  public Optional<RoutedService> service(ServiceName name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the holder of an API key, or empty if the key is unknown. */
  public Optional<ApiKeyHolder> accountByKey(String key) {
    return Optional.ofNullable(accountsByKey.get(key));
  }

  /** Returns whether requests need an API key, except on routes that allow anonymous requests. */
  public boolean keysRequired() {
    return keysRequired;
  }

  /**
   * Returns the route of the host with the longest matching path prefix.
   *
   * @param host value of the Host header, with or without a port
   * @param path request path without the query
   */
  public Optional<Route> match(String host, String path) {
    Map<String, Route> byPrefix = routesByHost.get(hostName(host));
    if (byPrefix == null) {
      return Optional.empty();
    }
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      Route route = byPrefix.get(path.substring(0, end + 1));
      if (route != null) {
        return Optional.of(route);
      }
      if (end == 0) {
        break;
      }
    }
    return Optional.empty();
  }

  private static String hostName(String host) {
    int colon = host.indexOf(':');
    return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
  }
}
