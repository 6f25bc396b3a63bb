package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.path.PathPart;
import io.zinniawood.core.route.EngineProfile;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Reroutes streams whose path contains an unresponsive endpoint. */
final class PathRepair {
  /** Maximum path changes of one request. */
  private static final int MAX_REPATHS = 4;

  /** Reason of an attempt's end: the endpoint that relays the answer gives no report. */
  static final String FIRST_ENDPOINT_SILENT = "first-endpoint-silent";

  private PathRepair() {}

  /**
   * Reroutes every stream whose path contains the endpoint. If it is the first endpoint of the
   * path, the attempt is replaced instead, where that is possible.
   */
  static void rerouteAround(RelayTurn turn, EndpointId unresponsive) {
    for (OpenRequest open : new ArrayList<>(turn.state.open.values())) {
      if (!open.endUnconfirmed()
          && open.path.isPresent()
          && open.path.get().contains(unresponsive)) {
        FailureContainment.run(
            turn, "path-repair", Optional.of(open.id), () -> reroute(turn, open, unresponsive));
      }
    }
  }

  private static void reroute(RelayTurn turn, OpenRequest open, EndpointId unresponsive) {
    if (open.path.orElseThrow().first().endpoint().equals(unresponsive)) {
      AttemptOutcomes.replace(turn, open, FIRST_ENDPOINT_SILENT);
    } else {
      repath(turn, open, Set.of(unresponsive));
    }
  }

  private static void repath(RelayTurn turn, OpenRequest open, Set<EndpointId> avoid) {
    Optional<EngineProfile> engine = turn.state.engine(open.service);
    if (engine.isEmpty() || open.repaths >= MAX_REPATHS) {
      return;
    }
    PathSelector selector = new PathSelector(turn, engine.get(), open);
    Set<EndpointId> excluded = new HashSet<>(open.excluded);
    excluded.addAll(avoid);
    PathPart first = open.path.orElseThrow().first();
    Optional<LayerPath> path = selector.bestKeepingFirst(first, excluded);
    if (path.isEmpty()) {
      turn.log("repath-impossible", "request", open.logId(), "avoid", avoid.toString());
      return;
    }
    turn.log(
        "path-changed",
        "request",
        open.logId(),
        "from",
        PathFormatter.format(open.path.get()),
        "to",
        PathFormatter.format(path.get()),
        "silentMillis",
        turn.millisSince(open.lastProgressNanos));
    Optional<EndpointId> target = open.target;
    EndpointUsage.end(open);
    open.target = target;
    open.path = path;
    selector.recordTransfers(path.get(), open.expectedTokens);
    EndpointUsage.begin(turn, open);
    open.excluded.addAll(avoid);
    open.repaths++;
    open.repathPending = true;
    open.expectedGapMillis = selector.expectedGapMillis(path.get());
    open.expectedFirstEventMillis =
        selector.expectedFirstEventMillis(path.get(), open.request.promptTokens());
    turn.state
        .fleet
        .find(first.endpoint())
        .ifPresent(endpoint -> endpoint.countRequest(turn.nowNanos));
    turn.emit(new RelayEffect.Repath(open.id, open.attempt, first.address(), path.get()));
  }

  static void repathAnswered(RelayTurn turn, RelayEvent.RepathAnswered event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null || open.attempt != event.attempt() || !open.repathPending) {
      return;
    }
    open.repathPending = false;
    turn.log(
        "path-change-answered",
        "request",
        open.logId(),
        "result",
        event.result().name(),
        "endpointAtFault",
        event.endpointAtFault().map(Object::toString).orElse("-"),
        "silentMillis",
        turn.millisSince(open.lastProgressNanos));
    if (event.result() == OrderResult.REFUSED && open.path.isPresent()) {
      Optional<TrackedEndpoint> atFault =
          event.endpointAtFault().flatMap(turn.state.fleet::atAddress);
      if (atFault.isPresent()) {
        turn.state.fleet.avoidAfterRefusal(atFault.get(), turn.nowNanos);
        repath(turn, open, Set.of(atFault.get().id()));
      }
    }
  }
}
