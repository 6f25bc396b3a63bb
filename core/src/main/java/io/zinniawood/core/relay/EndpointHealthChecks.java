package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.EndpointRecord;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Asks endpoints for their report when streams through them fall silent. A busy fleet has silent
 * streams too, so silence alone is no reason to avoid an endpoint: only one that does not answer,
 * or that another one names as dead, is avoided.
 */
final class EndpointHealthChecks {
  /** Time for which the answer to a check holds; a report is about so old itself. */
  private static final long REPORT_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Time between two checks of an avoided endpoint, which end the avoidance if it answers. */
  private static final long RECHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Time without a tick after which this process was paused, and what it missed proves nothing. */
  private static final long PAUSE_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Time after a pause until streams and answers are up to date again. */
  private static final long CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private EndpointHealthChecks() {}

  /** Notes that time passes, and looks at the endpoints that are avoided. */
  static void tick(RelayTurn turn) {
    RelayState state = turn.state;
    if (state.lastTickNanos != 0 && turn.nowNanos - state.lastTickNanos > PAUSE_THRESHOLD_NANOS) {
      state.catchUpEndNanos = turn.nowNanos + CATCH_UP_NANOS;
    }
    state.lastTickNanos = turn.nowNanos;
    for (EndpointRecord endpoint : state.fleet.all()) {
      if (endpoint.entry().accelerator().isPresent()
          && endpoint.silentAt(turn.nowNanos)
          && endpoint.checkDue(turn.nowNanos, RECHECK_INTERVAL_NANOS)) {
        check(turn, endpoint);
      }
    }
  }

  /** Tells whether this process was paused a moment ago. */
  static boolean catchingUp(RelayTurn turn) {
    return turn.nowNanos - turn.state.catchUpEndNanos < 0;
  }

  /** Asks the parts of a silent stream for their reports, each at most once in a while. */
  static void checkEndpoints(RelayTurn turn, List<EndpointRecord> parts) {
    for (EndpointRecord endpoint : parts) {
      if (endpoint.checkDue(turn.nowNanos, REPORT_VALIDITY_NANOS)) {
        check(turn, endpoint);
      }
    }
  }

  private static void check(RelayTurn turn, EndpointRecord endpoint) {
    endpoint.checkStarted(turn.nowNanos);
    turn.emit(new RelayEffect.ReadReport(endpoint.id(), endpoint.entry().address()));
  }

  /** The endpoint lives; its report may name parts that do not. */
  static void reportRead(RelayTurn turn, RelayEvent.ReportRead event) {
    Optional<EndpointRecord> found = turn.state.fleet.find(event.endpoint());
    if (found.isEmpty()) {
      return;
    }
    EndpointRecord endpoint = found.get();
    endpoint.ordersReported(event.report().ordersAccepted());
    if (endpoint.silentAt(turn.nowNanos)) {
      turn.log(
          "endpoint-answers",
          "endpoint",
          endpoint.id().value(),
          "rowVersion",
          endpoint.entry().rowVersion());
    }
    endpoint.checkAnswered(event.report().slowness());
    for (EndpointReport.StalledRequest stalled : event.report().stalledRequests()) {
      turn.state
          .fleet
          .at(stalled.deadEndpoint())
          .filter(part -> part.lastProgressNanos() < turn.nowNanos - REPORT_VALIDITY_NANOS)
          .ifPresent(part -> avoid(turn, part, "named-as-dead"));
    }
  }

  /** The endpoint gave no report, on a kept connection and on a new one. */
  static void reportMissing(RelayTurn turn, RelayEvent.ReportMissing event) {
    Optional<EndpointRecord> found = turn.state.fleet.find(event.endpoint());
    found.ifPresent(EndpointRecord::checkMissed);
    if (!catchingUp(turn)) {
      found.ifPresent(endpoint -> avoid(turn, endpoint, "no-report"));
    }
  }

  private static void avoid(RelayTurn turn, EndpointRecord endpoint, String reason) {
    FleetUpdates.suspect(turn, endpoint, reason);
    PathRepair.rerouteAround(turn, endpoint.id());
  }
}
