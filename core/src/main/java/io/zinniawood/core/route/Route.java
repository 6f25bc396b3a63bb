package io.zinniawood.core.route;

import java.util.List;

/**
 * One route.
 *
 * @param name name of the route
 * @param host host name in lower case
 * @param pathPrefix prefix of the path; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a request may take, in milliseconds
 * @param targetLatencyMillis time to the answer or its first event that counts as on time, in
 *     milliseconds
 * @param targetGapMillis longest pause between events that counts as on time, in milliseconds; 0 if
 *     the route has none
 * @param priority rank, 0 is the highest
 * @param shares services of the route; at least one
 * @param maxAttempts most endpoints that may run one request
 * @param anonymousAllowed whether requests need no key
 * @param resumable whether a broken stream may go on at another endpoint
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
  /** Copies the shares. */
  public Route {
    shares = List.copyOf(shares);
    if (shares.isEmpty()) {
      throw new IllegalArgumentException("route %s has no service".formatted(name));
    }
  }

  /** Tells whether a request of this route may run again after it may have run. */
  public boolean retryable() {
    return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
  }

  /**
   * Returns the service of a request.
   *
   * @param draw a number that is spread evenly over all long values
   */
  public ServiceShare selectShare(long draw) {
    int total = shares.stream().mapToInt(ServiceShare::weight).sum();
    if (total <= 0) {
      return shares.get(0);
    }
    long left = Math.floorMod(draw, (long) total);
    for (ServiceShare share : shares) {
      left -= share.weight();
      if (left < 0) {
        return share;
      }
    }
    return shares.get(shares.size() - 1);
  }
}
