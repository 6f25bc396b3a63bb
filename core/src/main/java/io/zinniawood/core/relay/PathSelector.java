package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.EndpointRecord;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.path.PathCandidate;
import io.zinniawood.core.path.PathCosts;
import io.zinniawood.core.path.PathPart;
import io.zinniawood.core.path.PathPlanner;
import io.zinniawood.core.route.AcceleratorProfile;
import io.zinniawood.core.route.EngineProfile;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Chooses the path of a model request by expected pass time, load and data centre. */
final class PathSelector {
  /** Handover of an event between two endpoints, in milliseconds. */
  private static final double HANDOVER_MILLIS = 1;

  /**
   * Transfers that may wait for a pipe between data centres, in milliseconds: a first event that
   * waits longer comes late, as targets are some hundred milliseconds.
   */
  private static final double MAX_PIPE_BACKLOG_MILLIS = 150;

  /** Cost of a crossing against the time for which it holds the pipe: others wait behind it. */
  private static final double CROSSING_WEIGHT = 2;

  /** Events of a stream that come from another data centre, in milliseconds. */
  private static final double REMOTE_FIRST_ENDPOINT_MILLIS = 3;

  /** Share of an endpoint's memory beyond which no further request is sent there. */
  private static final double MAX_MEMORY_SHARE = 0.95;

  /**
   * Cost of an endpoint whose memory is full, against an empty one; a full one preempts requests.
   */
  private static final double MEMORY_PRESSURE_WEIGHT = 4;

  /** Weight of held memory against the time of a path; chosen paths then fill evenly. */
  private static final double HELD_MEMORY_WEIGHT = 1;

  /** Makes memory count only when it is nearly full. */
  private static final double MEMORY_PRESSURE_EXPONENT = 6;

  /** Spread of the random factor that keeps relays from choosing the same path. */
  private static final double MAX_JITTER_SHARE = 0.3;

  /** A request waits for about half a pass at each part before its own. */
  private static final double QUEUEING_FACTOR = 1.5;

  private final RelayTurn turn;
  private final EngineProfile engine;
  private final List<EndpointRecord> endpoints;
  private final PathPlanner planner;

  PathSelector(RelayTurn turn, EngineProfile engine, ServiceName service) {
    this.turn = turn;
    this.engine = engine;
    this.endpoints = turn.state.fleet.of(service);
    this.planner =
        new PathPlanner(
            engine.layers(),
            new PathCosts(HANDOVER_MILLIS, this::crossingCost, REMOTE_FIRST_ENDPOINT_MILLIS));
  }

  private double crossingCost(DataCentreId from, DataCentreId to) {
    double backlog = turn.state.pipes.backlogMillis(from, to, turn.nowNanos);
    return backlog > MAX_PIPE_BACKLOG_MILLIS
        ? Double.POSITIVE_INFINITY
        : backlog + CROSSING_WEIGHT * engine.pipeMillis(usualTokens());
  }

  private double usualTokens() {
    return engine.usualPromptTokens() + engine.usualAnswerTokens();
  }

  /** Counts the transfers of a path between data centres, if all relays choose as this one does. */
  void recordTransfers(LayerPath path, double tokens) {
    Optional<DataCentreId> before = Optional.empty();
    for (PathPart part : path.parts()) {
      Optional<DataCentreId> here =
          turn.state.fleet.find(part.endpoint()).map(endpoint -> endpoint.entry().dataCentre());
      if (before.isPresent() && here.isPresent() && !before.equals(here)) {
        double millis = engine.pipeMillis(tokens) * turn.state.relays.count();
        turn.state.pipes.addTransfer(before.get(), here.get(), millis, turn.nowNanos);
      }
      before = here;
    }
  }

  /**
   * Returns the best path along endpoints with room. A slow part makes a request hold the memory of
   * all other parts longer, so paths with and without the slower accelerators are compared by their
   * time and by the memory that they hold for that time.
   *
   * @param excluded endpoints that the request must avoid
   * @param tokens tokens of the request
   */
  Optional<LayerPath> best(Set<EndpointId> excluded, long tokens) {
    List<PathCandidate> all = candidates(excluded, tokens);
    Optional<LayerPath> best = Optional.empty();
    double bestCost = Double.POSITIVE_INFINITY;
    for (SpeedClass speed : SpeedClass.values()) {
      List<PathCandidate> candidates = new ArrayList<>();
      for (PathCandidate candidate : all) {
        if (speed.includes(isSlow(candidate.endpoint()))) {
          candidates.add(candidate);
        }
      }
      Optional<LayerPath> path = planner.cheapest(candidates, turn.state.parameters.dataCentre());
      double cost = path.map(this::memoryWeightedMillis).orElse(Double.POSITIVE_INFINITY);
      if (cost < bestCost) {
        bestCost = cost;
        best = path;
      }
    }
    return best;
  }

  /** Which accelerators a path may use. */
  private enum SpeedClass {
    FAST,
    SLOW,
    ANY;

    boolean includes(boolean slow) {
      return this == ANY || slow == (this == SLOW);
    }
  }

  private boolean isSlow(EndpointId endpoint) {
    return turn.state
        .fleet
        .find(endpoint)
        .flatMap(this::accelerator)
        .map(engine::isSlow)
        .orElse(false);
  }

  /** Returns the time between two events of a path, dearer the fuller the memory that it holds. */
  private double memoryWeightedMillis(LayerPath path) {
    double price = 0;
    for (PathPart part : path.parts()) {
      double used =
          turn.state
              .fleet
              .find(part.endpoint())
              .map(endpoint -> memoryShare(endpoint, 0))
              .orElse(1.0);
      double scarcity = used * used / (1 - Math.min(used, MAX_MEMORY_SHARE));
      price += scarcity * part.layers().layers() / engine.layers();
    }
    return expectedGapMillis(path) * (1 + HELD_MEMORY_WEIGHT * price);
  }

  /** Tells whether a path would exist if all endpoints had room. */
  boolean existsWithoutLoad(Set<EndpointId> excluded) {
    return planner
        .cheapest(candidates(excluded, Long.MIN_VALUE), turn.state.parameters.dataCentre())
        .isPresent();
  }

  /** Returns the best path that keeps its first part; none if there is none. */
  Optional<LayerPath> bestKeepingFirst(PathPart first, Set<EndpointId> excluded) {
    DataCentreId dataCentre =
        turn.state
            .fleet
            .find(first.endpoint())
            .map(endpoint -> endpoint.entry().dataCentre())
            .orElse(turn.state.parameters.dataCentre());
    return planner.continued(candidates(excluded, 0), first, dataCentre);
  }

  private List<PathCandidate> candidates(Set<EndpointId> excluded, long tokens) {
    List<PathCandidate> candidates = new ArrayList<>();
    for (EndpointRecord endpoint : endpoints) {
      Optional<LayerRange> layers = endpoint.entry().layers();
      if (layers.isEmpty() || !endpoint.usable(turn.nowNanos) || excluded.contains(endpoint.id())) {
        continue;
      }
      double jitter = 1 + MAX_JITTER_SHARE * turn.state.random.nextDouble();
      double used = memoryShare(endpoint, tokens);
      if (used >= MAX_MEMORY_SHARE) {
        continue;
      }
      double crowding =
          1 + MEMORY_PRESSURE_WEIGHT * Math.pow(Math.max(0, used), MEMORY_PRESSURE_EXPONENT);
      double slowness = endpoint.slowness() * endpoint.slowness();
      candidates.add(
          new PathCandidate(
              endpoint.id(),
              endpoint.entry().address(),
              endpoint.entry().dataCentre(),
              layers.get(),
              QUEUEING_FACTOR * passMillis(endpoint) * crowding * jitter * slowness));
    }
    return candidates;
  }

  /**
   * Returns the share of an endpoint's memory that requests take with one more, if all relays use
   * it as this one does.
   */
  private double memoryShare(EndpointRecord endpoint, long moreTokens) {
    double capacity =
        accelerator(endpoint)
            .map(kind -> engine.tokensBeside(kind, endpoint.entry().layers().get().layers()))
            .orElse(0.0);
    double tokens = (double) endpoint.tokensInFlight() * turn.state.relays.count() + moreTokens;
    return capacity <= 0 ? 1 : tokens / capacity;
  }

  /** Returns the time of a pass through one layer, if all relays use the endpoint as this one. */
  private double passMillis(EndpointRecord endpoint) {
    double relays = turn.state.relays.count();
    return accelerator(endpoint)
        .map(
            kind ->
                engine.passMillisPerLayer(
                    kind, endpoint.inFlight() * relays, endpoint.tokensInFlight() * relays))
        .orElse(1.0);
  }

  private Optional<AcceleratorProfile> accelerator(EndpointRecord endpoint) {
    return endpoint.entry().accelerator().flatMap(engine::accelerator);
  }

  /** Returns the expected time between two events of a stream on a path at its present load. */
  double expectedGapMillis(LayerPath path) {
    double millis = 0;
    for (PathPart part : path.parts()) {
      double pass = turn.state.fleet.find(part.endpoint()).map(this::passMillis).orElse(1.0);
      millis += HANDOVER_MILLIS + QUEUEING_FACTOR * pass * part.layers().layers();
    }
    return millis;
  }

  /** Returns the expected time to the first event of a stream on a path at its present load. */
  double expectedFirstEventMillis(LayerPath path, int promptTokens) {
    double millis = 0;
    for (PathPart part : path.parts()) {
      double read =
          turn.state
              .fleet
              .find(part.endpoint())
              .flatMap(this::accelerator)
              .map(accelerator -> engine.readMillisPerLayer(accelerator, promptTokens))
              .orElse(0.0);
      millis += HANDOVER_MILLIS + QUEUEING_FACTOR * read * part.layers().layers();
    }
    return millis + expectedGapMillis(path);
  }
}
