package io.zinniawood.core.route;

import io.zinniawood.core.id.ServiceName;
import java.util.List;

/**
 * Route from a host name and a path prefix to one or more services.
 *
 * @param host host name in lower case
 * @param pathPrefix path prefix; begins and ends with a slash
 * @param kind whether requests may run more than once and whether answers are streamed
 * @param timeoutMillis maximum duration of a request in milliseconds
 * @param targetLatencyMillis latency target for the answer or its first event, in milliseconds
 * @param targetGapMillis target for the longest pause between events, in milliseconds; 0 if the
 *     route has none
 * @param priority priority, 0 is the highest
 * @param shares services of the route with their weights; at least one
 * @param maxAttempts maximum number of attempts of one request, not counting those that are known
 *     not to have run
 * @param anonymousAllowed whether requests need no API key
 * @param resumable whether an interrupted stream may be resumed on another endpoint
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    long timeoutMillis,
    long targetLatencyMillis,
    long targetGapMillis,
    int priority,
    List<ServiceShare> shares,
    int maxAttempts,
    boolean anonymousAllowed,
    boolean resumable) {
  /** Rejects a route without services. */
  public Route {
    shares = List.copyOf(shares);
    if (shares.isEmpty()) {
      throw new IllegalArgumentException("route %s has no service".formatted(name));
    }
  }

  /** Returns whether a request that may already have run may be run again. */
  public boolean retryable() {
    return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
  }

  /** Returns whether requests of this route may go to a service. */
  boolean leadsTo(ServiceName service) {
    return shares.stream().anyMatch(share -> share.service().equals(service));
  }

  /**
   * Selects the service of a request in proportion to the weights.
   *
   * @param draw random number, uniform over all long values
   */
  public ServiceShare selectShare(long draw) {
    int total = shares.stream().mapToInt(ServiceShare::weight).sum();
    if (total <= 0) {
      return shares.get(0);
    }
    long remaining = Math.floorMod(draw, (long) total);
    for (ServiceShare share : shares) {
      remaining -= share.weight();
      if (remaining < 0) {
        return share;
      }
    }
    return shares.get(shares.size() - 1);
  }
}
