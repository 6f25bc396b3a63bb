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
final class PathChoice {
  /** Handover between two endpoints and the wait for a pass in progress, in milliseconds. */
  private static final double PART_MILLIS = 2;

  /** Activations of a usual prompt through the pipe between data centres, in milliseconds. */
  private static final double CROSSING_MILLIS = 12;

  /** Events of a stream that come from another data centre, in milliseconds. */
  private static final double ENTRY_CROSSING_MILLIS = 3;

  /** Growth of an endpoint's pass time by each request that this relay has there. */
  private static final double LOAD_WEIGHT = 0.06;

  /** Spread of the random factor that keeps relays from choosing the same path. */
  private static final double JITTER = 0.3;

  /** A request waits for about half a pass at each part before its own. */
  private static final double WAIT_FACTOR = 1.5;

  private final RelayTurn turn;
  private final EngineProfile engine;
  private final List<EndpointRecord> endpoints;
  private final PathPlanner planner;

  PathChoice(RelayTurn turn, EngineProfile engine, ServiceName service) {
    this.turn = turn;
    this.engine = engine;
    this.endpoints = turn.state.fleet.of(service);
    this.planner =
        new PathPlanner(
            engine.layers(), new PathCosts(PART_MILLIS, CROSSING_MILLIS, ENTRY_CROSSING_MILLIS));
  }

  Optional<LayerPath> best(Set<EndpointId> excluded) {
    return planner.cheapest(candidates(excluded), turn.state.self.dataCentre());
  }

  /** Returns the best path that keeps its first part; none if there is none. */
  Optional<LayerPath> continued(PathPart first, Set<EndpointId> excluded) {
    DataCentreId dataCentre =
        turn.state
            .fleet
            .find(first.endpoint())
            .map(endpoint -> endpoint.entry().dataCentre())
            .orElse(turn.state.self.dataCentre());
    return planner.continued(candidates(excluded), first, dataCentre);
  }

  private List<PathCandidate> candidates(Set<EndpointId> excluded) {
    List<PathCandidate> candidates = new ArrayList<>();
    for (EndpointRecord endpoint : endpoints) {
      Optional<LayerRange> layers = endpoint.entry().layers();
      if (layers.isEmpty() || !endpoint.usable(turn.nowNanos) || excluded.contains(endpoint.id())) {
        continue;
      }
      double jitter = 1 + JITTER * turn.state.random.nextDouble();
      double load = 1 + LOAD_WEIGHT * endpoint.inFlight();
      double slowness = endpoint.slowness() * endpoint.slowness();
      candidates.add(
          new PathCandidate(
              endpoint.id(),
              endpoint.entry().address(),
              endpoint.entry().dataCentre(),
              layers.get(),
              passMillis(endpoint) * load * jitter * slowness));
    }
    return candidates;
  }

  private double passMillis(EndpointRecord endpoint) {
    return accelerator(endpoint).map(engine::passMillisPerLayer).orElse(1.0);
  }

  private Optional<AcceleratorProfile> accelerator(EndpointRecord endpoint) {
    return endpoint.entry().accelerator().flatMap(engine::accelerator);
  }

  /** Returns the expected time between two events of a stream on an unloaded path. */
  double expectedGapMillis(LayerPath path) {
    double millis = 0;
    for (PathPart part : path.parts()) {
      double pass = turn.state.fleet.find(part.endpoint()).map(this::passMillis).orElse(1.0);
      millis += PART_MILLIS + WAIT_FACTOR * pass * part.layers().layers();
    }
    return millis;
  }

  /** Returns the expected time to the first event of a stream on an unloaded path. */
  double expectedFirstMillis(LayerPath path, int promptTokens) {
    double millis = 0;
    for (PathPart part : path.parts()) {
      double read =
          turn.state
              .fleet
              .find(part.endpoint())
              .flatMap(this::accelerator)
              .map(accelerator -> engine.readMillisPerLayer(accelerator, promptTokens))
              .orElse(0.0);
      millis += PART_MILLIS + WAIT_FACTOR * read * part.layers().layers();
    }
    return millis + expectedGapMillis(path);
  }
}
