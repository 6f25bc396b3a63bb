package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.path.PathPart;
import io.zinniawood.core.route.EngineProfile;
import io.zinniawood.core.route.RouteKind;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Sends a request to the endpoint or path with the lowest expected cost. */
final class Dispatcher {
  /** Result of an attempt to dispatch a request. */
  enum Result {
    /** The request was sent. */
    SENT,
    /** All usable endpoints are at their limits; capacity may become free. */
    ALL_BUSY,
    /** The answer could not arrive before the end of the grace period of this process. */
    TOO_LATE,
    /** No usable endpoint or path exists for the request at present. */
    NO_USABLE_ENDPOINT
  }

  private Dispatcher() {}

  static Result dispatch(RelayTurn turn, OpenRequest open) {
    if (turn.state.waitingRules.reserveKept(turn, open)) {
      return Result.ALL_BUSY;
    }
    Optional<EngineProfile> engine = turn.state.engine(open.service);
    return engine.isPresent() ? dispatchModel(turn, open, engine.get()) : dispatchPlain(turn, open);
  }

  private static Result dispatchModel(RelayTurn turn, OpenRequest open, EngineProfile engine) {
    PathSelector selector = new PathSelector(turn, engine, open);
    open.expectedTokens = open.request.expectedTokens(engine.meanAnswerTokens());
    Optional<LayerPath> path = selector.best(open.excluded, open.expectedTokens);
    if (path.isEmpty()) {
      if (selector.pace().filter(PathPace::limited).isPresent()) {
        recordPaceLimited(turn, open);
      }
      return selector.existsWithoutLoad(open.excluded)
          ? Result.ALL_BUSY
          : Result.NO_USABLE_ENDPOINT;
    }
    if (tooLate(turn, open, selector, path.get())) {
      return Result.TOO_LATE;
    }
    open.path = path;
    selector.pace().ifPresent(pace -> open.gapInTime = pace.gapInTime());
    selector.recordTransfers(path.get(), open.expectedTokens);
    open.estimatedMillis = open.headRelayed ? 0 : estimatedMillis(open, selector, path.get());
    open.expectedGapMillis = selector.expectedGapMillis(path.get());
    open.expectedFirstEventMillis =
        selector.expectedFirstEventMillis(path.get(), open.request.promptTokens());
    PathPart first = path.get().first();
    send(turn, open, first.endpoint(), selector.endpointsAtLimit());
    return Result.SENT;
  }

  private static void recordPaceLimited(RelayTurn turn, OpenRequest open) {
    if (open.paceLimited) {
      return;
    }
    open.paceLimited = true;
    turn.state.paceLimitedRequests++;
    turn.state.schedulingLog.log(
        turn,
        "pace-limited",
        "request",
        open.logId(),
        "service",
        open.service.value(),
        "targetGapMillis",
        open.route.targetGapMillis(),
        "promptTokens",
        open.request.promptTokens());
  }

  private static boolean tooLate(
      RelayTurn turn, OpenRequest open, PathSelector selector, LayerPath path) {
    // A stream that has begun goes on for as long as possible; its caller can resume the rest.
    double expectedMillis =
        open.headRelayed
            ? selector.expectedFirstEventMillis(path, open.request.promptTokens())
            : turn.state.durations.expectedMillis(
                open.service, estimatedMillis(open, selector, path));
    return GracePeriod.tooLate(turn, open, expectedMillis);
  }

  private static double estimatedMillis(OpenRequest open, PathSelector selector, LayerPath path) {
    long answerTokens = open.expectedTokens - open.request.promptTokens();
    return selector.expectedFirstEventMillis(path, open.request.promptTokens())
        + answerTokens * selector.expectedGapMillis(path);
  }

  private static Result dispatchPlain(RelayTurn turn, OpenRequest open) {
    PlainEndpointSelector selector = new PlainEndpointSelector(turn, open.service);
    Optional<TrackedEndpoint> endpoint = selector.best(open.excluded);
    if (endpoint.isEmpty()) {
      return selector.anyUsable(open.excluded) ? Result.ALL_BUSY : Result.NO_USABLE_ENDPOINT;
    }
    if (GracePeriod.tooLate(turn, open, endpoint.get().latencyMillis())) {
      return Result.TOO_LATE;
    }
    send(turn, open, endpoint.get().id(), selector.endpointsAtLimit());
    return Result.SENT;
  }

  /** Returns whether the request could be sent to another endpoint than its present one. */
  static boolean replacementExists(RelayTurn turn, OpenRequest open) {
    Set<EndpointId> excluded = new HashSet<>(open.excluded);
    open.target.ifPresent(excluded::add);
    // The present attempt would free its share of the endpoints that both paths contain.
    EndpointUsage.pause(open);
    Optional<EngineProfile> engine = turn.state.engine(open.service);
    boolean exists =
        engine.isPresent()
            ? replacementPathExists(turn, open, engine.get(), excluded)
            : new PlainEndpointSelector(turn, open.service).best(excluded).isPresent();
    EndpointUsage.resume(open);
    return exists;
  }

  private static boolean replacementPathExists(
      RelayTurn turn, OpenRequest open, EngineProfile engine, Set<EndpointId> excluded) {
    PathSelector selector = new PathSelector(turn, engine, open);
    return selector
        .best(excluded, open.expectedTokens)
        .filter(path -> !tooLate(turn, open, selector, path))
        .isPresent();
  }

  private static void send(
      RelayTurn turn, OpenRequest open, EndpointId target, int endpointsAtLimit) {
    TrackedEndpoint endpoint = turn.state.fleet.find(target).orElseThrow();
    endpoint.countRequest(turn.nowNanos);
    open.attempt++;
    open.sends++;
    open.possibleRuns++;
    open.phase = open.headRelayed ? OpenRequest.Phase.RELAYING : OpenRequest.Phase.SENT;
    open.target = Optional.of(target);
    open.sentNanos = turn.nowNanos;
    open.lastProgressNanos = turn.nowNanos;
    open.firstEventRelayed = false;
    open.repathPending = false;
    open.signsAwaited = 0;
    EndpointUsage.begin(turn, open);
    turn.state.waitingRules.sent(turn, open);
    SendOptions options =
        new SendOptions(
            target,
            Math.max(1, turn.millisUntil(open.deadlineNanos)),
            open.account,
            open.path,
            open.lastEventId,
            open.route.kind() == RouteKind.NON_IDEMPOTENT || open.sends > 1
                ? SendOptions.ConnectionUse.FRESH
                : SendOptions.ConnectionUse.ANY,
            open.streaming(),
            WaitingRules.urgency(turn, open));
    turn.log(
        "request-sent",
        "request",
        open.logId(),
        "attempt",
        open.attempt,
        "endpoint",
        target.value(),
        "path",
        open.path.map(PathFormatter::format).orElse("-"),
        "rowVersion",
        endpoint.entry().rowVersion(),
        "routesVersion",
        turn.state.routesVersion(),
        "promptTokens",
        open.request.promptTokens(),
        "maxAnswerTokens",
        open.request.maxAnswerTokens(),
        "sharedParts",
        open.logSharedParts(),
        "deadlineMillis",
        options.deadlineMillis(),
        "resumeAfter",
        open.lastEventId,
        "endpointsAtLimit",
        endpointsAtLimit,
        "urgency",
        options.urgency());
    turn.emit(new RelayEffect.Send(open.id, open.attempt, endpoint.entry().address(), options));
  }
}
