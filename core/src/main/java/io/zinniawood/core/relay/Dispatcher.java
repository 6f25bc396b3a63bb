package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.path.PathPart;
import io.zinniawood.core.route.EngineProfile;
import io.zinniawood.core.route.RouteKind;
import io.zinniawood.core.route.RoutedService;
import java.util.Optional;

/** Sends a request to the endpoint or along the path that is expected to answer first. */
final class Dispatcher {
  /** What became of a try to send a request. */
  enum Result {
    /** The request is on its way. */
    SENT,
    /** All endpoints are at their limits; one may come free. */
    ALL_BUSY,
    /** No endpoint can serve the request at present. */
    NONE_LEFT
  }

  private Dispatcher() {}

  static Result dispatch(RelayTurn turn, OpenRequest open) {
    Optional<RoutedService> service =
        turn.state.routes.flatMap(routes -> routes.service(open.service));
    Optional<EngineProfile> engine = service.flatMap(RoutedService::engine);
    return engine.isPresent() ? dispatchModel(turn, open, engine.get()) : dispatchPlain(turn, open);
  }

  private static Result dispatchModel(RelayTurn turn, OpenRequest open, EngineProfile engine) {
    PathChoice choice = new PathChoice(turn, engine, open.service);
    open.tokens = open.request.expectedTokens(engine.meanAnswerTokens());
    Optional<LayerPath> path = choice.best(open.excluded, open.tokens);
    if (path.isEmpty()) {
      return choice.existsIfEmpty(open.excluded) ? Result.ALL_BUSY : Result.NONE_LEFT;
    }
    open.path = path;
    choice.chosen(path.get(), open.tokens);
    open.expectedGapMillis = choice.expectedGapMillis(path.get());
    open.expectedFirstMillis = choice.expectedFirstMillis(path.get(), open.request.promptTokens());
    PathPart first = path.get().first();
    send(turn, open, first.endpoint());
    return Result.SENT;
  }

  private static Result dispatchPlain(RelayTurn turn, OpenRequest open) {
    PlainChoice choice = new PlainChoice(turn, open.service);
    Optional<TrackedEndpoint> endpoint = choice.best(open.excluded);
    if (endpoint.isEmpty()) {
      return choice.anyUsable(open.excluded) ? Result.ALL_BUSY : Result.NONE_LEFT;
    }
    send(turn, open, endpoint.get().id());
    return Result.SENT;
  }

  private static void send(RelayTurn turn, OpenRequest open, EndpointId target) {
    TrackedEndpoint endpoint = turn.state.fleet.find(target).orElseThrow();
    open.attempt++;
    open.sends++;
    open.possibleRuns++;
    open.phase = open.headRelayed ? OpenRequest.Phase.RELAYING : OpenRequest.Phase.SENT;
    open.target = Optional.of(target);
    open.sentNanos = turn.nowNanos;
    open.lastProgressNanos = turn.nowNanos;
    open.eventSeen = false;
    open.repathOpen = false;
    Usage.begin(turn, open);
    SendTerms terms =
        new SendTerms(
            target,
            Math.max(1, turn.millisUntil(open.deadlineNanos)),
            open.account,
            open.path,
            open.lastEventId,
            open.route.kind() == RouteKind.NON_IDEMPOTENT
                ? SendTerms.ConnectionUse.FRESH
                : SendTerms.ConnectionUse.ANY,
            open.streaming());
    turn.log(
        "request-sent",
        "request",
        open.logId(),
        "attempt",
        open.attempt,
        "endpoint",
        target.value(),
        "path",
        open.path.map(PathText::of).orElse("-"),
        "rowVersion",
        endpoint.entry().rowVersion(),
        "routesVersion",
        turn.state.routesVersion(),
        "promptTokens",
        open.request.promptTokens(),
        "maxAnswerTokens",
        open.request.maxAnswerTokens(),
        "deadlineMillis",
        terms.deadlineMillis(),
        "resumeAfter",
        open.lastEventId);
    turn.emit(new RelayEffect.Send(open.id, open.attempt, endpoint.entry().address(), terms));
  }
}
