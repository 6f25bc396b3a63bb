package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.load.EndpointLoad;
import io.zinniawood.core.pace.BoundedLoad;
import io.zinniawood.core.pace.PaceDemand;
import io.zinniawood.core.pace.PaceLimit;
import io.zinniawood.core.pace.PaceModel;
import io.zinniawood.core.pace.PacePart;
import io.zinniawood.core.pace.PaceTurn;
import io.zinniawood.core.pace.PaceVerdict;
import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.path.PathCandidate;
import io.zinniawood.core.path.PathPart;
import io.zinniawood.core.route.EngineProfile;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/** Applies the pace limit to the selection of the path of one request. */
final class PathPace {
  /** Time without an event after which callers give up a stream. */
  private static final long CALLER_PATIENCE_MILLIS = 2_000;

  private final RelayTurn turn;
  private final EngineProfile engine;
  private final int relays;
  private final BoundedLoad bound;
  private final PaceLimit limit;
  private final PaceDemand demand;
  private final Map<TrackedEndpoint, PacePart> wholeParts = new IdentityHashMap<>();
  private boolean limited;
  private boolean gapInTime;

  private PathPace(
      RelayTurn turn,
      EngineProfile engine,
      OpenRequest open,
      int relays,
      PaceModel model,
      List<TrackedEndpoint> endpoints) {
    this.turn = turn;
    this.engine = engine;
    this.relays = relays;
    this.bound = bound(endpoints, relays);
    this.demand = demand(turn, open, engine, relays);
    double shortestGapMillis =
        turn.state.routes.map(table -> table.shortestTargetGapMillis(open.service)).orElse(0L);
    this.limit = new PaceLimit(model, shortestGapMillis);
    for (OpenRequest running : turn.state.open.values()) {
      if (running != open && running.gapInTime && running.service.equals(open.service)) {
        running.path.ifPresent(
            path -> limit.addWriter(runningParts(running, path), running.route.targetGapMillis()));
      }
    }
  }

  /**
   * Returns the limit for a request; empty if the limit is not in force. It does not apply to a
   * stream that has begun, nor to a request that may have run: its caller could not be told that it
   * has not.
   */
  static Optional<PathPace> of(
      RelayTurn turn,
      EngineProfile engine,
      OpenRequest open,
      int relays,
      PaceModel model,
      List<TrackedEndpoint> endpoints) {
    boolean applies =
        open.streaming()
            && !open.headRelayed
            && open.possibleRuns == 0
            && turn.state.scheduling(SchedulingPart.PACE_LIMIT, open.service);
    return applies
        ? Optional.of(new PathPace(turn, engine, open, relays, model, endpoints))
        : Optional.empty();
  }

  private static BoundedLoad bound(List<TrackedEndpoint> endpoints, int relays) {
    long requests = 0;
    long tokens = 0;
    for (TrackedEndpoint endpoint : endpoints) {
      requests += endpoint.inFlight();
      tokens += endpoint.tokensInFlight();
    }
    double count = Math.max(1, endpoints.size());
    return new BoundedLoad(relays, requests / count, tokens / count);
  }

  private static PaceDemand demand(
      RelayTurn turn, OpenRequest open, EngineProfile engine, int relays) {
    double waitedMillis = turn.millisSince(open.arrivedNanos);
    double patienceMillis =
        Math.min(
            CALLER_PATIENCE_MILLIS,
            TimeUnit.NANOSECONDS.toMillis(open.deadlineNanos - open.arrivedNanos));
    long seed = turn.state.parameters.seed() ^ turn.state.parameters.vm().value().hashCode();
    return new PaceDemand(
        PaceTurn.roomRequests(seed, relays, turn.nowNanos),
        open.request.expectedTokens(engine.meanAnswerTokens()),
        open.request.promptTokens(),
        open.route.targetGapMillis(),
        open.route.targetLatencyMillis() - waitedMillis,
        patienceMillis - waitedMillis);
  }

  /**
   * Returns whether a stream would be in time on a path without slowing others down too much. In
   * that case, which is the usual one, no other path need be compared.
   */
  boolean suits(LayerPath path) {
    List<PacePart> parts = parts(path);
    for (PacePart part : parts) {
      if (!limit.permits(part, demand)) {
        return false;
      }
    }
    PaceVerdict verdict = limit.judge(parts, demand);
    gapInTime = verdict.gapInTime();
    return verdict.grade() == PaceVerdict.Grade.IN_TIME;
  }

  /**
   * Returns the best path that the limit permits; a path in time goes before a late one.
   *
   * @param classes candidates of each class of speed
   * @param cheapest finds the cheapest path over candidates
   * @param cost cost by which the paths of the classes are compared
   */
  Optional<LayerPath> best(
      List<List<PathCandidate>> classes,
      Function<List<PathCandidate>, Optional<LayerPath>> cheapest,
      ToDoubleFunction<LayerPath> cost) {
    Optional<LayerPath> best = Optional.empty();
    double bestCost = Double.POSITIVE_INFINITY;
    boolean bestInTime = false;
    for (List<PathCandidate> candidates : classes) {
      List<PathCandidate> permitted = new ArrayList<>(candidates);
      limited |= permitted.removeIf(this::closes);
      Optional<LayerPath> path = permittedPath(permitted, cheapest);
      if (path.isPresent()) {
        PaceVerdict verdict = judge(path.get());
        boolean inTime = verdict.grade() == PaceVerdict.Grade.IN_TIME;
        double pathCost = cost.applyAsDouble(path.get());
        if (inTime == bestInTime ? pathCost < bestCost : inTime) {
          best = path;
          bestCost = pathCost;
          bestInTime = inTime;
          gapInTime = verdict.gapInTime();
        }
      }
    }
    return best;
  }

  /** Returns the cheapest path or, if that slows others down, the next one apart from these. */
  private Optional<LayerPath> permittedPath(
      List<PathCandidate> candidates, Function<List<PathCandidate>, Optional<LayerPath>> cheapest) {
    Optional<LayerPath> path = cheapest.apply(candidates);
    if (path.isEmpty()) {
      return path;
    }
    PaceVerdict verdict = judge(path.get());
    if (verdict.permitted()) {
      return path;
    }
    limited = true;
    if (verdict.contested().isEmpty()) {
      return Optional.empty();
    }
    List<PathCandidate> others = new ArrayList<>(candidates);
    others.removeIf(candidate -> verdict.contested().contains(candidate.endpoint()));
    return cheapest.apply(others).filter(other -> judge(other).permitted());
  }

  /** Returns whether the limit has left out an endpoint or a path. */
  boolean limited() {
    return limited;
  }

  /** Returns whether the stream is expected to keep its target gap on the best path. */
  boolean gapInTime() {
    return gapInTime;
  }

  /** Returns whether a running stream would be slowed down too much by one more at an endpoint. */
  private boolean closes(PathCandidate candidate) {
    return turn.state
        .fleet
        .find(candidate.endpoint())
        .flatMap(this::wholePart)
        .filter(part -> !limit.permits(part, demand))
        .isPresent();
  }

  private PaceVerdict judge(LayerPath path) {
    return limit.judge(parts(path), demand);
  }

  private List<PacePart> parts(LayerPath path) {
    List<PacePart> parts = new ArrayList<>(path.parts().size());
    for (PathPart part : path.parts()) {
      turn.state
          .fleet
          .find(part.endpoint())
          .flatMap(this::wholePart)
          .map(whole -> withLayers(whole, part.layers().layers()))
          .ifPresent(parts::add);
    }
    return parts;
  }

  /** Returns the parts of the path of a running stream, whose endpoints need no lookup. */
  private List<PacePart> runningParts(OpenRequest running, LayerPath path) {
    List<TrackedEndpoint> used = running.endpointsInUse;
    if (used.size() != path.parts().size()) {
      return parts(path);
    }
    List<PacePart> parts = new ArrayList<>(used.size());
    for (int index = 0; index < used.size(); index++) {
      int layers = path.parts().get(index).layers().layers();
      wholePart(used.get(index)).map(whole -> withLayers(whole, layers)).ifPresent(parts::add);
    }
    return parts;
  }

  private static PacePart withLayers(PacePart whole, int layers) {
    if (layers == whole.layers()) {
      return whole;
    }
    return new PacePart(
        whole.endpoint(),
        whole.accelerator(),
        layers,
        whole.heldLayers(),
        whole.load(),
        whole.othersRequests());
  }

  /** Returns an endpoint with all layers that it holds; empty if it holds none. */
  private Optional<PacePart> wholePart(TrackedEndpoint endpoint) {
    PacePart known = wholeParts.get(endpoint);
    if (known != null) {
      return Optional.of(known);
    }
    Optional<PacePart> part =
        endpoint
            .entry()
            .accelerator()
            .flatMap(engine::accelerator)
            .flatMap(
                profile ->
                    endpoint
                        .entry()
                        .layers()
                        .map(
                            held -> {
                              EndpointLoad load = load(endpoint);
                              return new PacePart(
                                  endpoint.id(),
                                  profile,
                                  held.layers(),
                                  held.layers(),
                                  load,
                                  load.requests() - endpoint.inFlight());
                            }));
    part.ifPresent(found -> wholeParts.put(endpoint, found));
    return part;
  }

  private EndpointLoad load(TrackedEndpoint endpoint) {
    return bound.of(
        turn.state.fleetLoad.at(endpoint, relays, turn.nowNanos),
        endpoint.inFlight(),
        endpoint.tokensInFlight());
  }
}
