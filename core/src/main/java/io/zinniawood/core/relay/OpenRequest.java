package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.EndpointPause;
import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.CrashSubject;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.RequestFingerprint;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.quarantine.CrashId;
import io.zinniawood.core.route.Route;
import io.zinniawood.core.route.RouteKind;
import io.zinniawood.core.waiting.WaitingRequest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;

/** Mutable state of a request in progress. Only the reducer may access it. */
final class OpenRequest {
  /** Progress of a request. The names appear in the decision log. */
  enum Phase {
    /** Waiting for an endpoint. */
    WAITING,
    /** Sent to an endpoint; no part of the answer has been relayed. */
    SENT,
    /** The answer of an endpoint is being relayed to the caller. */
    RELAYING
  }

  final RelayRequestId id;
  final CallerRequest request;
  private final RequestContent content;
  final Route route;
  final ServiceName service;
  final Optional<ClientAccountId> account;
  final int priority;
  final long arrivedNanos;
  final long deadlineNanos;

  /** What the order of waiting requests knows of this one. */
  final WaitingRequest waiting;

  Phase phase = Phase.WAITING;
  int attempt;

  /** Number of sends that may have run: all but those known not to have run. */
  int possibleRuns;

  int sends;
  Optional<EndpointId> target = Optional.empty();
  Optional<LayerPath> path = Optional.empty();

  /** Endpoints of the current attempt, kept so that stream events need no lookup. */
  List<TrackedEndpoint> endpointsInUse = List.of();

  /** Counts this attempt at endpoints to which requests return after a pause. */
  final List<EndpointPause.Trial> pauseTrials = new ArrayList<>();

  long expectedTokens;

  /** Prompt tokens counted at the endpoints in use until the next event. */
  long promptTokensCounted;

  double expectedGapMillis;
  double expectedFirstEventMillis;

  /** Whether the stream was expected to keep its target gap; the pace limit protects only these. */
  boolean gapInTime;

  /** Whether the pace limit has kept this request waiting, which is logged once. */
  boolean paceLimited;

  /** Estimated duration of the whole answer; 0 for plain calls and resumed streams. */
  double estimatedMillis;

  long sentNanos;
  long lastProgressNanos;
  boolean firstEventRelayed;
  double averageGapMillis;

  /** The caller has received an event of a stream; only the same stream may continue it. */
  boolean headRelayed;

  long lastEventId;

  /** Crash of an endpoint in which the last attempt was cut before its first event. */
  Optional<CrashId> lostInCrash = Optional.empty();

  long lostNanos;

  /** Subject that is held back and that this request tries again. */
  Optional<CrashSubject> trialOf = Optional.empty();

  /** When the answer of this attempt ended with its connection; see {@link AnswerConfirmation}. */
  long answerEndedNanos;

  /** Whether this process may have been paused between that end and its event. */
  boolean answerEndedInPause;

  /** Number of times that the endpoint of this attempt was asked for a sign of life. */
  int signsAwaited;

  /** How the answer that was relayed was known to be complete. */
  Optional<AnswerEvidence> evidence = Optional.empty();

  private Optional<RequestFingerprint> fingerprint = Optional.empty();

  /** Random number that decides where the request may run; drawn once, so that retries agree. */
  OptionalDouble overflowDraw = OptionalDouble.empty();

  boolean repathPending;
  int repaths;
  final Set<EndpointId> excluded = new HashSet<>();

  OpenRequest(
      RelayRequestId id,
      CallerRequest request,
      RequestContent content,
      Route route,
      ServiceName service,
      Optional<ClientAccountId> account,
      int priority,
      long arrivedNanos,
      long deadlineNanos) {
    this.id = id;
    this.request = request;
    this.content = content;
    this.route = route;
    this.service = service;
    this.account = account;
    this.priority = priority;
    this.arrivedNanos = arrivedNanos;
    this.deadlineNanos = deadlineNanos;
    this.lastEventId = request.resumeAfter();
    this.waiting =
        new WaitingRequest(
            account,
            priority,
            route.priority(),
            arrivedNanos,
            (long) (WaitingQueue.MAX_WAIT_PER_TARGET_LATENCY * targetNanos()));
  }

  /** Returns whether the answer of this attempt has ended and waits for a sign of life. */
  boolean endUnconfirmed() {
    return signsAwaited > 0;
  }

  /** Returns the fingerprint, which is computed when it is needed first. */
  RequestFingerprint fingerprint() {
    if (fingerprint.isEmpty()) {
      fingerprint = Optional.of(content.fingerprint(account));
    }
    return fingerprint.get();
  }

  /** Returns all that may crash an endpoint which begins to run this request. */
  List<CrashSubject> crashSubjects() {
    List<CrashSubject> subjects = new ArrayList<>(request.sharedParts());
    subjects.add(fingerprint());
    return subjects;
  }

  /** Returns the target latency of the route in nanoseconds. */
  long targetNanos() {
    return TimeUnit.MILLISECONDS.toNanos(route.targetLatencyMillis());
  }

  boolean streaming() {
    return route.kind() == RouteKind.STREAMING;
  }

  /**
   * Returns the endpoint of the current attempt at an address. After a restart the list may have
   * two endpoints at one address for some seconds.
   */
  Optional<TrackedEndpoint> endpointInUseAt(NodeAddress address) {
    for (TrackedEndpoint endpoint : endpointsInUse) {
      if (endpoint.entry().address().equals(address)) {
        return Optional.of(endpoint);
      }
    }
    return Optional.empty();
  }

  /** Returns whether the current attempt was sent to the endpoint itself. */
  boolean isTarget(TrackedEndpoint endpoint) {
    return target.filter(endpoint.id()::equals).isPresent();
  }

  boolean uses(EndpointId endpoint) {
    return path.isPresent()
        ? path.get().contains(endpoint)
        : target.isPresent() && target.get().equals(endpoint);
  }

  /** Returns the caller's request id for log lines, so that caller reports can be traced. */
  String logId() {
    return request.id().map(Object::toString).orElse("-");
  }

  /** Returns the shared parts of the prompt for log lines. */
  String logSharedParts() {
    StringJoiner parts = new StringJoiner(",");
    request.sharedParts().forEach(part -> parts.add(part.value()));
    return parts.toString();
  }
}
