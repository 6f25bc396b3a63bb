package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Requests the reports of endpoints whose streams receive no events. Streams also stall when the
 * fleet is overloaded, so a stalled stream alone does not make an endpoint suspect: an endpoint is
 * avoided only if it returns no report or if another endpoint's report names it as dead.
 */
final class EndpointHealthChecks {
  /** Time for which the result of a check stays valid; a report may itself be about this old. */
  private static final long REPORT_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Interval between checks of an unresponsive endpoint; a report ends its avoidance. */
  private static final long RECHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /**
   * Gap between ticks above which this process is considered to have been paused. Reports and
   * events that are missing after a pause are no evidence against an endpoint.
   */
  private static final long PAUSE_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Time after a pause in which the backlog of events and reports is processed. */
  private static final long CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private EndpointHealthChecks() {}

  /** Detects pauses of this process and checks unresponsive endpoints again. */
  static void tick(RelayTurn turn) {
    RelayState state = turn.state;
    if (state.lastTickNanos != 0 && turn.nowNanos - state.lastTickNanos > PAUSE_THRESHOLD_NANOS) {
      state.catchUpEndNanos = turn.nowNanos + CATCH_UP_NANOS;
    }
    state.lastTickNanos = turn.nowNanos;
    for (TrackedEndpoint endpoint : state.fleet.all()) {
      if (endpoint.entry().accelerator().isPresent()
          && endpoint.unresponsiveAt(turn.nowNanos)
          && endpoint.checkDue(turn.nowNanos, intervalNanos(turn, RECHECK_INTERVAL_NANOS))) {
        check(turn, endpoint);
      }
    }
  }

  /** Returns whether this process still catches up after a pause. */
  static boolean catchingUp(RelayTurn turn) {
    return turn.nowNanos - turn.state.catchUpEndNanos < 0;
  }

  /** Returns whether the event that is handled may have waited while this process was paused. */
  static boolean delayedByPause(RelayTurn turn) {
    return catchingUp(turn)
        || (turn.state.lastTickNanos != 0
            && turn.nowNanos - turn.state.lastTickNanos > PAUSE_THRESHOLD_NANOS);
  }

  /** Requests the reports of a stalled stream's endpoints, at a limited rate for each. */
  static void checkEndpoints(RelayTurn turn, List<TrackedEndpoint> endpoints) {
    for (TrackedEndpoint endpoint : endpoints) {
      if (endpoint.checkDue(turn.nowNanos, intervalNanos(turn, REPORT_VALIDITY_NANOS))) {
        check(turn, endpoint);
      }
    }
  }

  private static long intervalNanos(RelayTurn turn, long intervalNanos) {
    return intervalNanos * turn.state.processorGuard.optionalWorkIntervalFactor();
  }

  /** Requests the report of an endpoint unless a request for it is in progress. */
  static void checkNow(RelayTurn turn, TrackedEndpoint endpoint) {
    if (!endpoint.checkPending()) {
      check(turn, endpoint);
    }
  }

  private static void check(RelayTurn turn, TrackedEndpoint endpoint) {
    endpoint.checkStarted(turn.nowNanos);
    endpoint.countRequest(turn.nowNanos);
    turn.emit(new RelayEffect.ReadReport(endpoint.id(), endpoint.entry().address()));
  }

  /**
   * Handles a report: the endpoint is alive, and endpoints that the report names as dead are
   * avoided unless a request advanced through them recently.
   */
  static void reportRead(RelayTurn turn, RelayEvent.ReportRead event) {
    Optional<TrackedEndpoint> found = turn.state.fleet.find(event.endpoint());
    if (found.isEmpty()) {
      return;
    }
    TrackedEndpoint endpoint = found.get();
    endpoint.ordersReported(event.report().ordersAccepted());
    if (endpoint.unresponsiveAt(turn.nowNanos)) {
      turn.log(
          "endpoint-answers",
          "endpoint",
          endpoint.id().value(),
          "rowVersion",
          endpoint.entry().rowVersion());
    }
    endpoint.checkAnswered(event.report().slowdownFactor());
    CrashWatch.reportRead(turn, endpoint, event.report().startedMillis());
    for (EndpointReport.StalledRequest stalledRequest : event.report().stalledRequests()) {
      turn.state
          .fleet
          .atAddress(stalledRequest.deadEndpoint())
          .filter(dead -> dead.lastProgressNanos() < turn.nowNanos - REPORT_VALIDITY_NANOS)
          .ifPresent(dead -> avoid(turn, dead, "named-as-dead"));
    }
  }

  /**
   * Handles an endpoint that answers without giving a report: a plain one, which has none, is
   * alive.
   */
  static void reportRefused(RelayTurn turn, RelayEvent.ReportRefused event) {
    Optional<TrackedEndpoint> found = turn.state.fleet.find(event.endpoint());
    if (found.filter(endpoint -> endpoint.entry().accelerator().isEmpty()).isEmpty()) {
      reportMissing(turn, new RelayEvent.ReportMissing(event.endpoint()));
      return;
    }
    found.get().checkAnswered(1);
    CrashWatch.reportRead(turn, found.get(), 0);
  }

  /** Handles a missing report; it was requested on a pooled connection and on a new one. */
  static void reportMissing(RelayTurn turn, RelayEvent.ReportMissing event) {
    Optional<TrackedEndpoint> found = turn.state.fleet.find(event.endpoint());
    found.ifPresent(TrackedEndpoint::checkUnanswered);
    if (!catchingUp(turn)) {
      found.ifPresent(
          endpoint -> {
            CrashWatch.confirmed(turn, endpoint);
            avoid(turn, endpoint, "no-report");
          });
    }
  }

  private static void avoid(RelayTurn turn, TrackedEndpoint endpoint, String reason) {
    FleetUpdates.suspect(turn, endpoint, reason);
    PathRepair.rerouteAround(turn, endpoint.id());
  }
}
