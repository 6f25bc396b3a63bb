package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.load.EndpointLoad;
import io.zinniawood.core.load.FleetLoad;
import io.zinniawood.core.load.LoadHashes;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.overflow.LinkCondition;
import io.zinniawood.core.pace.PaceModel;
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
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** Selects the path of a model request by expected pass time, load and data centre. */
final class PathSelector {
  /** Time to hand over an event from one endpoint to the next. */
  private static final double HANDOVER_MILLIS = 1;

  /**
   * Maximum backlog of a link for a stream that has begun. Such a stream is late already, and the
   * engines keep it waiting for about 3,000 ms at a dead endpoint, while callers give up after
   * 2,000 ms without an event.
   */
  private static final double MAX_RESUMED_LINK_BACKLOG_MILLIS = 1_000;

  /** Factor on the time a transfer occupies a link, as later transfers queue behind it. */
  private static final double TRANSFER_TIME_WEIGHT = 2;

  /** Cost of a path that starts in another data centre than this relay, which relays its events. */
  static final double REMOTE_FIRST_ENDPOINT_MILLIS = 3;

  /** Share of an endpoint's memory in use from which it receives no further requests. */
  static final double MAX_MEMORY_SHARE = 0.95;

  /**
   * Extra cost of an endpoint with full memory relative to an empty one. An endpoint that runs out
   * of memory preempts requests.
   */
  private static final double MEMORY_PRESSURE_WEIGHT = 4;

  /** Weight of occupied memory relative to the time of a path, so that paths fill evenly. */
  private static final double HELD_MEMORY_WEIGHT = 1;

  /** High exponent, so that memory affects the cost only when it is nearly full. */
  private static final double MEMORY_PRESSURE_EXPONENT = 6;

  /** Maximum random increase of a cost, which keeps relays from selecting the same path. */
  private static final double MAX_JITTER_SHARE = 0.3;

  /**
   * Maximum increase of a cost by which each relay prefers other endpoints, where relays tell each
   * other their load. It is as large as the random increase, so that it decides between endpoints
   * that are equally good for all relays, but not against one that is much faster.
   */
  private static final double MAX_RENDEZVOUS_SHARE = 0.3;

  /** Pass time including queueing: a request waits about half a pass at each endpoint. */
  private static final double QUEUEING_FACTOR = 1.5;

  /** Token number that is below the memory of every endpoint, as if there were no load. */
  private static final long NO_LOAD = Long.MIN_VALUE;

  private final RelayTurn turn;
  private final OpenRequest open;
  private final EngineProfile engine;
  private final List<TrackedEndpoint> endpoints;
  private final PathPlanner planner;
  private final Optional<OverflowCosts> overflow;
  private final double maxLinkBacklogMillis;
  private int endpointsAtLimit;
  private Optional<PathPace> pace = Optional.empty();

  /** Number of live relays; without their load notices, they are assumed to load alike. */
  private final int relays;

  /** Whether the load that other relays tell is used. */
  private final boolean loadShared;

  /** Time to read the prompts that others may have sent unseen, for a layer, in milliseconds. */
  private final double unseenPromptMillis;

  private final long relayHash;

  PathSelector(RelayTurn turn, EngineProfile engine, OpenRequest open) {
    this.turn = turn;
    this.open = open;
    this.maxLinkBacklogMillis =
        open.headRelayed ? MAX_RESUMED_LINK_BACKLOG_MILLIS : LinkCondition.MAX_BACKLOG_MILLIS;
    this.relays = turn.state.peers.count(turn.nowNanos);
    this.engine = engine;
    this.endpoints = turn.state.fleet.ofService(open.service);
    this.loadShared = turn.state.scheduling(SchedulingPart.LOAD_SHARING, open.service);
    this.relayHash = LoadHashes.of(turn.state.parameters.vm());
    this.unseenPromptMillis = loadShared ? unseenPromptMillis() : 0;
    this.planner =
        new PathPlanner(
            engine.layers(),
            new PathCosts(HANDOVER_MILLIS, this::dataCentreHopCost, REMOTE_FIRST_ENDPOINT_MILLIS));
    this.overflow = OverflowCosts.of(turn, engine, open);
  }

  /**
   * Returns the time in which the fleet reads the prompts that other relays may have sent unseen.
   * It is the same at each endpoint, as faster endpoints get more of them.
   */
  private double unseenPromptMillis() {
    double layersPerMilli = 0;
    for (TrackedEndpoint endpoint : endpoints) {
      Optional<AcceleratorProfile> profile = accelerator(endpoint);
      Optional<LayerRange> held = endpoint.entry().layers();
      if (profile.isPresent() && held.isPresent()) {
        layersPerMilli +=
            held.get().layers()
                / engine.prefillMillisPerLayer(profile.get(), engine.meanPromptTokens());
      }
    }
    double unseen = turn.state.fleetLoad.unseenArrivals(open.service, relays, turn.nowNanos);
    return layersPerMilli > 0 ? unseen * engine.layers() / layersPerMilli : 0;
  }

  private double dataCentreHopCost(DataCentreId from, DataCentreId to) {
    return dataCentreHopCost(from, to, meanTokens());
  }

  private double dataCentreHopCost(DataCentreId from, DataCentreId to, double tokens) {
    double backlog = turn.state.linkBacklogs.backlogMillis(from, to, turn.nowNanos);
    return backlog > maxLinkBacklogMillis
        ? Double.POSITIVE_INFINITY
        : backlog + TRANSFER_TIME_WEIGHT * engine.linkTransferMillis(tokens);
  }

  /** Returns a planner that prefers the paths which the overflow policy permits. */
  private PathPlanner overflowPlanner(OverflowCosts costs, long tokens) {
    return new PathPlanner(
        engine.layers(),
        new PathCosts(
            HANDOVER_MILLIS,
            (from, to) -> dataCentreHopCost(from, to, tokens) + costs.hopMillis(from, to),
            (from, to) -> REMOTE_FIRST_ENDPOINT_MILLIS + costs.startMillis(to)));
  }

  private double meanTokens() {
    return engine.meanPromptTokens() + engine.meanAnswerTokens();
  }

  /**
   * Adds the transfers of a selected path to the link backlogs, assuming that all relays select
   * alike, except for those that tell their transfers.
   *
   * @param tokens number of tokens of the request
   */
  void recordTransfers(LayerPath path, double tokens) {
    double ownMillis = engine.linkTransferMillis(tokens);
    int alike =
        loadShared
            ? 1 + turn.state.fleetLoad.relaysWithoutFigures(open.service, relays, turn.nowNanos)
            : relays;
    Optional<DataCentreId> previous = Optional.empty();
    for (PathPart part : path.parts()) {
      Optional<DataCentreId> current =
          turn.state.fleet.find(part.endpoint()).map(endpoint -> endpoint.entry().dataCentre());
      if (previous.isPresent() && current.isPresent() && !previous.equals(current)) {
        turn.state.linkBacklogs.addTransfer(
            previous.get(), current.get(), ownMillis * alike, turn.nowNanos);
        turn.state.ownLoad.transferred(previous.get(), current.get(), ownMillis);
      }
      previous = current;
    }
    overflow.ifPresent(costs -> costs.recordPath(path));
  }

  /**
   * Returns the best path over endpoints with free memory. A slow endpoint makes a request occupy
   * the memory of all other endpoints on its path for longer, so the best paths over fast, slow and
   * any accelerators are compared by their time weighted with the memory they occupy.
   *
   * @param excluded endpoints that the request must avoid
   * @param tokens number of tokens that the request is expected to occupy
   */
  Optional<LayerPath> best(Set<EndpointId> excluded, long tokens) {
    endpointsAtLimit = 0;
    pace = Optional.empty();
    List<PathCandidate> all = candidates(excluded, tokens, turn.nowNanos, this::permitted);
    PathPlanner search = overflow.map(costs -> overflowPlanner(costs, tokens)).orElse(planner);
    ToDoubleFunction<LayerPath> cost =
        path ->
            memoryWeightedMillis(path)
                + overflow
                    .map(costs -> costs.pathMillis(path, expectedGapMillis(path)))
                    .orElse(0.0);
    Optional<LayerPath> cheapest = best(all, search, cost);
    try {
      pace =
          PathPace.of(
              turn,
              engine,
              open,
              relays,
              new PaceModel(engine, HANDOVER_MILLIS, QUEUEING_FACTOR),
              endpoints);
      if (pace.isPresent() && cheapest.isPresent() && !pace.get().suits(cheapest.get())) {
        return pace.get()
            .best(
                bySpeed(all), candidates -> cheapestPath(search, candidates), cost::applyAsDouble);
      }
    } catch (RuntimeException failure) {
      // Without the limit a stream may be late; the request itself can still be sent.
      pace = Optional.empty();
      FailureContainment.log(turn, "pace-limit", failure);
    }
    return cheapest;
  }

  private Optional<LayerPath> best(
      List<PathCandidate> all, PathPlanner search, ToDoubleFunction<LayerPath> costOf) {
    Optional<LayerPath> best = Optional.empty();
    double bestCost = Double.POSITIVE_INFINITY;
    for (List<PathCandidate> candidates : bySpeed(all)) {
      Optional<LayerPath> path = cheapestPath(search, candidates);
      double cost = path.map(costOf::applyAsDouble).orElse(Double.POSITIVE_INFINITY);
      if (cost < bestCost) {
        bestCost = cost;
        best = path;
      }
    }
    return best;
  }

  private List<List<PathCandidate>> bySpeed(List<PathCandidate> all) {
    List<List<PathCandidate>> classes = new ArrayList<>();
    for (SpeedClass speed : SpeedClass.values()) {
      List<PathCandidate> candidates = new ArrayList<>();
      for (PathCandidate candidate : all) {
        if (speed.includes(isSlow(candidate.endpoint()))) {
          candidates.add(candidate);
        }
      }
      classes.add(candidates);
    }
    return classes;
  }

  private Optional<LayerPath> cheapestPath(PathPlanner search, List<PathCandidate> candidates) {
    return search.cheapestPath(candidates, turn.state.parameters.dataCentre());
  }

  /** Returns the pace limit of the last selection; empty if none applied. */
  Optional<PathPace> pace() {
    return pace;
  }

  /** Returns the number of endpoints that the last best path could not begin at for their limit. */
  int endpointsAtLimit() {
    return endpointsAtLimit;
  }

  private boolean permitted(TrackedEndpoint endpoint) {
    boolean reached = endpoint.limitReached(turn.nowNanos);
    if (reached && endpoint.entry().layers().filter(held -> held.fromLayer() == 0).isPresent()) {
      endpoint.wantPermit(turn.nowNanos);
      endpointsAtLimit++;
    }
    return !reached;
  }

  /** Accelerators that a path may use. */
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

  /** Returns the expected time between two events, weighted up as the path's memory fills. */
  private double memoryWeightedMillis(LayerPath path) {
    double heldMemory = 0;
    for (PathPart part : path.parts()) {
      double used =
          turn.state
              .fleet
              .find(part.endpoint())
              .map(endpoint -> memoryShare(endpoint, 0))
              .orElse(1.0);
      double scarcity = used * used / (1 - Math.min(used, MAX_MEMORY_SHARE));
      heldMemory += scarcity * part.layers().layers() / engine.layers();
    }
    return expectedGapMillis(path) * (1 + HELD_MEMORY_WEIGHT * heldMemory);
  }

  /** Returns whether a path would exist if all endpoints had free memory and took requests. */
  boolean existsWithoutLoad(Set<EndpointId> excluded) {
    return exists(candidates(excluded, NO_LOAD, turn.nowNanos, endpoint -> true));
  }

  /**
   * Returns whether a path would exist without load at a time, when pauses have ended and limits
   * allow further requests.
   */
  boolean existsAt(long atNanos) {
    return exists(
        candidates(
            Set.of(),
            NO_LOAD,
            atNanos,
            endpoint -> endpoint.permittedNanos(turn.nowNanos) - atNanos <= 0));
  }

  private boolean exists(List<PathCandidate> candidates) {
    return planner.cheapestPath(candidates, turn.state.parameters.dataCentre()).isPresent();
  }

  /** Returns the best path that keeps the given first part; empty if there is none. */
  Optional<LayerPath> bestKeepingFirst(PathPart first, Set<EndpointId> excluded) {
    DataCentreId dataCentre =
        turn.state
            .fleet
            .find(first.endpoint())
            .map(endpoint -> endpoint.entry().dataCentre())
            .orElse(turn.state.parameters.dataCentre());
    return planner.cheapestPathFrom(
        candidates(excluded, 0, turn.nowNanos, endpoint -> true), first, dataCentre);
  }

  private List<PathCandidate> candidates(
      Set<EndpointId> excluded,
      long tokens,
      long pausesUntilNanos,
      Predicate<TrackedEndpoint> mayBeFirst) {
    List<PathCandidate> candidates = new ArrayList<>();
    for (TrackedEndpoint endpoint : endpoints) {
      Optional<LayerRange> layers = endpoint.entry().layers();
      if (layers.isEmpty()
          || !endpoint.usableAfterPause(turn.nowNanos, pausesUntilNanos)
          || excluded.contains(endpoint.id())
          || (tokens != NO_LOAD && endpoint.returnLimitReached(turn.nowNanos))) {
        continue;
      }
      double jitter = 1 + MAX_JITTER_SHARE * turn.state.random.nextDouble();
      double used = memoryShare(endpoint, tokens);
      if (used >= MAX_MEMORY_SHARE) {
        continue;
      }
      double memoryPressure =
          1 + MEMORY_PRESSURE_WEIGHT * Math.pow(Math.max(0, used), MEMORY_PRESSURE_EXPONENT);
      double slowdownPenalty = endpoint.slowdownFactor() * endpoint.slowdownFactor();
      candidates.add(
          new PathCandidate(
              endpoint.id(),
              endpoint.entry().address(),
              endpoint.entry().dataCentre(),
              layers.get(),
              sharedLoadCost(endpoint, QUEUEING_FACTOR * passMillis(endpoint))
                  * memoryPressure
                  * jitter
                  * slowdownPenalty,
              mayBeFirst.test(endpoint)));
    }
    return candidates;
  }

  /**
   * Returns the cost of a layer with what is known of the load of other relays: the time to read
   * the prompts that wait, the requests that others may have sent unseen, and the rank of the
   * endpoint for this relay. All relays would otherwise select the same path between two notices.
   *
   * @param passCost cost of a layer by the requests that are known
   */
  private double sharedLoadCost(TrackedEndpoint endpoint, double passCost) {
    Optional<AcceleratorProfile> profile = accelerator(endpoint);
    if (!loadShared || profile.isEmpty()) {
      return passCost;
    }
    double rank = LoadHashes.rendezvous(relayHash, endpoint.loadHash());
    double promptMillis =
        engine.prefillMillisPerLayer(profile.get(), (int) load(endpoint).promptTokens())
            + 2 * rank * unseenPromptMillis;
    return (passCost + promptMillis) * (1 + MAX_RENDEZVOUS_SHARE * rank);
  }

  /**
   * Returns the share of an endpoint's memory in use with one more request.
   *
   * @param moreTokens number of tokens of the additional request
   */
  private double memoryShare(TrackedEndpoint endpoint, long moreTokens) {
    double capacity = TokenCapacity.of(engine, endpoint);
    double tokens = load(endpoint).tokens() + moreTokens;
    return capacity <= 0 ? 1 : tokens / capacity;
  }

  /** Returns the time of a pass through one layer in milliseconds. */
  private double passMillis(TrackedEndpoint endpoint) {
    EndpointLoad load = load(endpoint);
    return accelerator(endpoint)
        .map(profile -> engine.passMillisPerLayer(profile, load.requests(), load.tokens()))
        .orElse(1.0);
  }

  private EndpointLoad load(TrackedEndpoint endpoint) {
    return loadShared
        ? turn.state.fleetLoad.at(endpoint, relays, turn.nowNanos)
        : FleetLoad.equalShares(endpoint, relays);
  }

  private Optional<AcceleratorProfile> accelerator(TrackedEndpoint endpoint) {
    return endpoint.entry().accelerator().flatMap(engine::accelerator);
  }

  /** Returns the expected time between stream events at the current load, in milliseconds. */
  double expectedGapMillis(LayerPath path) {
    double millis = 0;
    for (PathPart part : path.parts()) {
      double pass = turn.state.fleet.find(part.endpoint()).map(this::passMillis).orElse(1.0);
      millis += HANDOVER_MILLIS + QUEUEING_FACTOR * pass * part.layers().layers();
    }
    return millis;
  }

  /** Returns the expected time to the first event at the current load, in milliseconds. */
  double expectedFirstEventMillis(LayerPath path, int promptTokens) {
    double millis = 0;
    for (PathPart part : path.parts()) {
      double prefill =
          turn.state
              .fleet
              .find(part.endpoint())
              .flatMap(this::accelerator)
              .map(profile -> engine.prefillMillisPerLayer(profile, promptTokens))
              .orElse(0.0);
      millis += HANDOVER_MILLIS + QUEUEING_FACTOR * prefill * part.layers().layers();
    }
    return millis + expectedGapMillis(path);
  }
}
