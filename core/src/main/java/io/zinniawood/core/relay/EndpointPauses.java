package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.EndpointPause;
import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.route.EngineProfile;
import io.zinniawood.core.route.RoutedService;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Handles endpoints that want no requests from this relay for some time. */
final class EndpointPauses {
  /** Share of a Retry-After that is added at random, which spreads the retries of callers. */
  private static final double RETRY_SPREAD_SHARE = 0.25;

  private EndpointPauses() {}

  static void begin(RelayTurn turn, EndpointIncarnation endpoint, long pauseMillis) {
    turn.state.fleet.pause(
        endpoint, turn.nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMillis), turn.nowNanos);
    turn.log(
        "endpoint-paused",
        "endpoint",
        endpoint.endpoint().value(),
        "millis",
        pauseMillis,
        "inFlight",
        turn.state.fleet.find(endpoint.endpoint()).map(TrackedEndpoint::inFlight).orElse(0));
  }

  /** Records that the endpoints of an attempt accepted a request. */
  static void answerReceived(RelayTurn turn, RelayEvent.AnswerReceived event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open != null && open.attempt == event.attempt() && event.answer().success()) {
      open.pauseTrials.forEach(EndpointPause.Trial::accepted);
    }
  }

  /**
   * Returns the time at which the first endpoint or path becomes available for new requests; empty
   * if one is available now, or if none becomes available because pauses end.
   */
  static OptionalLong availableNanos(RelayTurn turn, OpenRequest open) {
    List<Long> endsNanos = new ArrayList<>();
    for (TrackedEndpoint endpoint : turn.state.fleet.ofService(open.service)) {
      if (endpoint.pausedAt(turn.nowNanos)) {
        endsNanos.add(endpoint.pauseEndNanos());
      }
    }
    if (endsNanos.isEmpty() || availableAt(turn, open, turn.nowNanos)) {
      return OptionalLong.empty();
    }
    Collections.sort(endsNanos);
    for (long endNanos : endsNanos) {
      if (availableAt(turn, open, endNanos)) {
        return OptionalLong.of(endNanos);
      }
    }
    return OptionalLong.empty();
  }

  private static boolean availableAt(RelayTurn turn, OpenRequest open, long atNanos) {
    Optional<EngineProfile> engine =
        turn.state
            .routes
            .flatMap(routes -> routes.service(open.service))
            .flatMap(RoutedService::engine);
    return engine.isPresent()
        ? new PathSelector(turn, engine.get(), open).existsAfterPauses(atNanos)
        : new PlainEndpointSelector(turn, open.service).anyUsableAfterPauses(atNanos);
  }

  /** Refuses a request for which no endpoint is usable. */
  static void refuseWithoutEndpoint(RelayTurn turn, OpenRequest open) {
    OptionalLong available = availableNanos(turn, open);
    if (available.isPresent()) {
      refuse(turn, open, available.getAsLong());
    } else {
      AttemptOutcomes.refuse(turn, open, "no-endpoint");
    }
  }

  /** Refuses a request until endpoints accept requests again. */
  static void refuse(RelayTurn turn, OpenRequest open, long availableNanos) {
    String reason = "endpoints-paused";
    if (open.headRelayed || open.possibleRuns > 0) {
      AttemptOutcomes.refuse(turn, open, reason);
      return;
    }
    long pauseMillis = Math.max(1, turn.millisUntil(availableNanos));
    long spreadMillis = (long) (RETRY_SPREAD_SHARE * pauseMillis * turn.state.random.nextDouble());
    AttemptOutcomes.complete(turn, open, "not-run", reason);
    turn.emit(
        new RelayEffect.AnswerLocally(
            open.id, LocalAnswer.notRun(reason, pauseMillis + spreadMillis)));
  }
}
