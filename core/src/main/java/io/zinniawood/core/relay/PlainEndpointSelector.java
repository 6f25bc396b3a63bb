package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.ServiceName;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the endpoint of a plain service by queue length, latency, failure rate and data centre.
 */
final class PlainEndpointSelector {
  /**
   * Maximum requests of this relay in flight at an endpoint, per slot; those beyond its slots queue
   * at the endpoint.
   */
  static final double MAX_IN_FLIGHT_PER_SLOT = 1.5;

  /** Weight of an endpoint's recent failure rate, relative to one more request in its queue. */
  private static final double FAILURE_WEIGHT = 6;

  /**
   * Extra cost share of an endpoint in another data centre; small, as the hop takes about a
   * millisecond, a small part of a call.
   */
  private static final double REMOTE_COST_SHARE = 0.05;

  /** Added to measured latencies, so that small differences between fast endpoints count little. */
  private static final double BASE_LATENCY_MILLIS = 30;

  private final RelayTurn turn;
  private final List<TrackedEndpoint> endpoints;
  private int endpointsAtLimit;

  PlainEndpointSelector(RelayTurn turn, ServiceName service) {
    this.turn = turn;
    this.endpoints = turn.state.fleet.ofService(service);
  }

  boolean anyUsable(Set<EndpointId> excluded) {
    for (TrackedEndpoint endpoint : endpoints) {
      if (endpoint.usable(turn.nowNanos) && !excluded.contains(endpoint.id())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether an endpoint is usable at a time, when pauses have ended and limits allow
   * further requests.
   */
  boolean anyUsableAt(long atNanos) {
    return endpoints.stream()
        .filter(known -> known.usableAfterPause(turn.nowNanos, atNanos))
        .anyMatch(known -> known.permittedNanos(turn.nowNanos) - atNanos <= 0);
  }

  /** Returns the number of endpoints that the last selection passed over for their limit. */
  int endpointsAtLimit() {
    return endpointsAtLimit;
  }

  /**
   * Returns the usable endpoint with the lowest cost; empty if there is none or all are at their
   * limits. Suspected endpoints are not usable.
   */
  Optional<TrackedEndpoint> best(Set<EndpointId> excluded) {
    endpointsAtLimit = 0;
    TrackedEndpoint best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (TrackedEndpoint endpoint : endpoints) {
      double limit = Math.max(1, endpoint.entry().slots() * MAX_IN_FLIGHT_PER_SLOT);
      if (!endpoint.usable(turn.nowNanos)
          || excluded.contains(endpoint.id())
          || endpoint.inFlight() >= limit
          || endpoint.returnLimitReached(turn.nowNanos)) {
        continue;
      }
      if (endpoint.limitReached(turn.nowNanos)) {
        endpoint.wantPermit(turn.nowNanos);
        endpointsAtLimit++;
        continue;
      }
      double cost = cost(endpoint);
      if (cost < bestCost) {
        bestCost = cost;
        best = endpoint;
      }
    }
    return Optional.ofNullable(best);
  }

  private double cost(TrackedEndpoint endpoint) {
    double queue = (1.0 + endpoint.inFlight()) / Math.max(1, endpoint.entry().slots());
    double latencyMillis = BASE_LATENCY_MILLIS + endpoint.latencyMillis();
    double remoteFactor =
        endpoint.entry().dataCentre().equals(turn.state.parameters.dataCentre())
            ? 1
            : 1 + REMOTE_COST_SHARE;
    double jitter = 0.95 + 0.1 * turn.state.random.nextDouble();
    return queue
        * latencyMillis
        * remoteFactor
        * jitter
        * (1 + FAILURE_WEIGHT * endpoint.failureRate());
  }
}
