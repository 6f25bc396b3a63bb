package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.EndpointRecord;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.path.PathPart;
import io.zinniawood.core.route.EngineProfile;
import io.zinniawood.core.route.RoutedService;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Watches streams and leads them around endpoints that fell silent. An engine reports a dead part
 * of a path only seconds later; here the part is found as the one that all silent streams share and
 * through which no stream advances.
 */
final class Streams {
  /** Shortest silence between two events that counts, in milliseconds. */
  private static final double MIN_GAP_MILLIS = 110;

  /** Shortest silence before the first event that counts, in milliseconds. */
  private static final double MIN_FIRST_MILLIS = 350;

  /** Silence against the expected or usual gap of a stream. */
  private static final double SILENCE_FACTOR = 3.5;

  /** Silence, against the one that counts, after which a stream alone is led around its path. */
  private static final double ALONE_FACTOR = 2;

  /** Most changes of path of one request. */
  private static final int MAX_REPATHS = 4;

  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private Streams() {}

  static void advanced(RelayTurn turn, RelayEvent.StreamAdvanced event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null || open.attempt != event.attempt()) {
      return;
    }
    double gapMillis = (turn.nowNanos - open.lastProgressNanos) / NANOS_PER_MILLI;
    double expected = open.eventSeen ? open.expectedGapMillis : open.expectedFirstMillis;
    if (open.eventSeen) {
      open.usualGapMillis += GAP_WEIGHT * (gapMillis - open.usualGapMillis);
    }
    if (open.path.isPresent()) {
      double ratio = expected > 0 ? gapMillis / expected : 1;
      for (EndpointRecord endpoint : open.inUse) {
        endpoint.progressed(turn.nowNanos, ratio);
      }
    }
    open.lastProgressNanos = turn.nowNanos;
    open.eventSeen = true;
  }

  private static final double GAP_WEIGHT = 0.3;

  /** Looks for streams that should have advanced, and for what they have in common. */
  static void checkSilence(RelayTurn turn) {
    List<OpenRequest> silent = new ArrayList<>();
    Map<EndpointId, Integer> votes = new HashMap<>();
    for (OpenRequest open : turn.state.open.values()) {
      if (open.path.isEmpty() || open.repathOpen || !isSilent(turn, open, 1)) {
        continue;
      }
      silent.add(open);
      for (EndpointRecord endpoint : stillParts(turn, open)) {
        votes.merge(endpoint.id(), 1, Integer::sum);
      }
    }
    if (silent.isEmpty()) {
      return;
    }
    Optional<EndpointId> culprit = mostVoted(votes);
    culprit
        .flatMap(turn.state.fleet::find)
        .ifPresent(endpoint -> Endpoints.suspect(turn, endpoint, "silent-streams"));
    culprit.ifPresent(id -> leadAround(turn, id));
    for (OpenRequest open : silent) {
      if (open.path.isPresent() && !open.repathOpen && isSilent(turn, open, ALONE_FACTOR)) {
        leadAroundAll(turn, open);
      }
    }
  }

  private static boolean isSilent(RelayTurn turn, OpenRequest open, double factor) {
    double silentMillis = (turn.nowNanos - open.lastProgressNanos) / NANOS_PER_MILLI;
    return silentMillis >= factor * silenceMillis(open);
  }

  private static double silenceMillis(OpenRequest open) {
    return open.eventSeen
        ? Math.max(
            MIN_GAP_MILLIS, SILENCE_FACTOR * Math.max(open.expectedGapMillis, open.usualGapMillis))
        : Math.max(MIN_FIRST_MILLIS, SILENCE_FACTOR * open.expectedFirstMillis);
  }

  /**
   * Returns the parts of a path through which nothing has advanced since the stream fell silent.
   */
  private static List<EndpointRecord> stillParts(RelayTurn turn, OpenRequest open) {
    List<EndpointRecord> still = new ArrayList<>();
    for (EndpointRecord endpoint : open.inUse) {
      if (endpoint.lastProgressNanos() <= open.lastProgressNanos) {
        still.add(endpoint);
      }
    }
    return still;
  }

  private static Optional<EndpointId> mostVoted(Map<EndpointId, Integer> votes) {
    int most = 1;
    Optional<EndpointId> found = Optional.empty();
    for (Map.Entry<EndpointId, Integer> entry : votes.entrySet()) {
      if (entry.getValue() > most) {
        most = entry.getValue();
        found = Optional.of(entry.getKey());
      } else if (entry.getValue() == most) {
        found = Optional.empty();
      }
    }
    return found;
  }

  /** Leads every stream around an endpoint. */
  static void leadAround(RelayTurn turn, EndpointId culprit) {
    for (OpenRequest open : new ArrayList<>(turn.state.open.values())) {
      if (open.path.isPresent() && open.path.get().contains(culprit)) {
        if (open.path.get().first().endpoint().equals(culprit)) {
          if (open.route.repeatable() && open.possibleRuns < open.route.maxAttempts()) {
            Outcomes.retry(turn, open, "first-endpoint-silent");
          }
        } else {
          repath(turn, open, Set.of(culprit));
        }
      }
    }
  }

  /** Leads one stream around all parts of its path, but the first, that are still. */
  private static void leadAroundAll(RelayTurn turn, OpenRequest open) {
    Set<EndpointId> avoid = new HashSet<>();
    EndpointId first = open.path.orElseThrow().first().endpoint();
    for (EndpointRecord endpoint : stillParts(turn, open)) {
      if (!endpoint.id().equals(first)) {
        avoid.add(endpoint.id());
        // New requests avoid the part for a moment, until another stream advances through it.
        turn.state.fleet.refused(endpoint, turn.nowNanos);
      }
    }
    if (!avoid.isEmpty()) {
      repath(turn, open, avoid);
    }
  }

  private static void repath(RelayTurn turn, OpenRequest open, Set<EndpointId> avoid) {
    Optional<EngineProfile> engine =
        turn.state
            .routes
            .flatMap(routes -> routes.service(open.service))
            .flatMap(RoutedService::engine);
    if (engine.isEmpty() || open.repaths >= MAX_REPATHS) {
      return;
    }
    PathChoice choice = new PathChoice(turn, engine.get(), open.service);
    Set<EndpointId> excluded = new HashSet<>(open.excluded);
    excluded.addAll(avoid);
    PathPart first = open.path.orElseThrow().first();
    Optional<LayerPath> path = choice.continued(first, excluded);
    if (path.isEmpty()) {
      turn.log("repath-impossible", "request", open.logId(), "avoid", avoid.toString());
      return;
    }
    turn.log(
        "path-changed",
        "request",
        open.logId(),
        "from",
        PathText.of(open.path.get()),
        "to",
        PathText.of(path.get()),
        "silentMillis",
        turn.millisSince(open.lastProgressNanos));
    Optional<EndpointId> target = open.target;
    Usage.end(open);
    open.target = target;
    open.path = path;
    Usage.begin(turn, open);
    open.excluded.addAll(avoid);
    open.repaths++;
    open.repathOpen = true;
    open.expectedGapMillis = choice.expectedGapMillis(path.get());
    open.expectedFirstMillis = choice.expectedFirstMillis(path.get(), open.request.promptTokens());
    turn.emit(new RelayEffect.Repath(open.id, open.attempt, first.address(), path.get()));
  }

  static void repathAnswered(RelayTurn turn, RelayEvent.RepathAnswered event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null || open.attempt != event.attempt() || !open.repathOpen) {
      return;
    }
    open.repathOpen = false;
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
      Optional<EndpointRecord> atFault = event.endpointAtFault().flatMap(turn.state.fleet::at);
      if (atFault.isPresent()) {
        turn.state.fleet.refused(atFault.get(), turn.nowNanos);
        repath(turn, open, Set.of(atFault.get().id()));
      }
    }
  }
}
