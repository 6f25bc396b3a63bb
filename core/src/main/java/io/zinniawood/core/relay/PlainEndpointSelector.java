package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.EndpointRecord;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.ServiceName;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Chooses an endpoint of a plain service: short queues, few failures, the own data centre. */
final class PlainEndpointSelector {
  /**
   * Requests that this relay keeps at an endpoint against its slots; the rest of them queue there.
   */
  private static final double MAX_IN_FLIGHT_PER_SLOT = 1.5;

  /** Weight of an endpoint's recent failures against one more request in its queue. */
  private static final double FAILURE_WEIGHT = 6;

  /** Cost of another data centre in requests; small, as a millisecond is a part of a call. */
  private static final double REMOTE_COST_SHARE = 0.05;

  /** Time of an answer that counts as usual, in milliseconds; keeps quick endpoints comparable. */
  private static final double BASE_LATENCY_MILLIS = 30;

  private final RelayTurn turn;
  private final List<EndpointRecord> endpoints;

  PlainEndpointSelector(RelayTurn turn, ServiceName service) {
    this.turn = turn;
    this.endpoints = turn.state.fleet.of(service);
  }

  boolean anyUsable(Set<EndpointId> excluded) {
    for (EndpointRecord endpoint : endpoints) {
      if (endpoint.usable(turn.nowNanos) && !excluded.contains(endpoint.id())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the endpoint with the least expected wait; none if all are at their limits. If all
   * usable endpoints are suspected, a suspected one is better than a refusal.
   */
  Optional<EndpointRecord> best(Set<EndpointId> excluded) {
    EndpointRecord best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (EndpointRecord endpoint : endpoints) {
      double limit = Math.max(1, endpoint.entry().slots() * MAX_IN_FLIGHT_PER_SLOT);
      if (!endpoint.usable(turn.nowNanos)
          || excluded.contains(endpoint.id())
          || endpoint.inFlight() >= limit) {
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

  private double cost(EndpointRecord endpoint) {
    double queue = (1.0 + endpoint.inFlight()) / Math.max(1, endpoint.entry().slots());
    double pace = BASE_LATENCY_MILLIS + endpoint.latencyMillis();
    double crossing =
        endpoint.entry().dataCentre().equals(turn.state.parameters.dataCentre())
            ? 1
            : 1 + REMOTE_COST_SHARE;
    double jitter = 0.95 + 0.1 * turn.state.random.nextDouble();
    return queue * pace * crossing * jitter * (1 + FAILURE_WEIGHT * endpoint.failureShare());
  }
}
