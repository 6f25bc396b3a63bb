package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.EndpointRecord;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.route.Route;
import io.zinniawood.core.route.RouteKind;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** A request between its arrival and its end. Confined to the reducer. */
final class OpenRequest {
  /** Where a request stands. */
  enum Phase {
    /** No endpoint has it. */
    WAITING,
    /** Sent to an endpoint, nothing of the answer passed on. */
    SENT,
    /** The answer of an endpoint is being passed on. */
    RELAYING
  }

  final RelayRequestId id;
  final CallerRequest request;
  final Route route;
  final ServiceName service;
  final Optional<ClientAccountId> account;
  final int priority;
  final long arrivedNanos;
  final long deadlineNanos;

  Phase phase = Phase.WAITING;
  int attempt;

  /** Sends that the endpoint did not disown. */
  int possibleRuns;

  int sends;
  Optional<EndpointId> target = Optional.empty();
  Optional<LayerPath> path = Optional.empty();

  /** Records of the endpoints in use, so that an event of a stream needs no search for them. */
  List<EndpointRecord> endpointsInUse = List.of();

  long expectedTokens;
  double expectedGapMillis;
  double expectedFirstEventMillis;
  long sentNanos;
  long lastProgressNanos;
  boolean firstEventRelayed;
  double averageGapMillis;

  /** The caller has part of the answer; only the rest of the same stream may follow. */
  boolean headRelayed;

  long lastEventId;
  boolean repathPending;
  int repaths;
  final Set<EndpointId> excluded = new HashSet<>();

  OpenRequest(
      RelayRequestId id,
      CallerRequest request,
      Route route,
      ServiceName service,
      Optional<ClientAccountId> account,
      int priority,
      long arrivedNanos,
      long deadlineNanos) {
    this.id = id;
    this.request = request;
    this.route = route;
    this.service = service;
    this.account = account;
    this.priority = priority;
    this.arrivedNanos = arrivedNanos;
    this.deadlineNanos = deadlineNanos;
    this.lastEventId = request.resumeAfter();
  }

  boolean streaming() {
    return route.kind() == RouteKind.STREAMING;
  }

  boolean uses(EndpointId endpoint) {
    return path.isPresent()
        ? path.get().contains(endpoint)
        : target.isPresent() && target.get().equals(endpoint);
  }

  /** Id in log lines: the caller's own, so that it can be found from a complaint. */
  String logId() {
    return request.id().map(Object::toString).orElse("-");
  }
}
