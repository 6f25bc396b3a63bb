package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Asks endpoints for their report when streams through them fall silent. A busy fleet has silent
 * streams too, so silence alone is no reason to avoid an endpoint: only one that does not answer,
 * or that another one names as dead, is avoided.
 */
final class EndpointChecks {
  /** Time for which the answer to a check holds; a report is about so old itself. */
  private static final long ANSWER_HOLDS_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Time between two checks of an avoided endpoint, which end the avoidance if it answers. */
  private static final long RECHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Time without a tick after which this process was paused, and what it missed proves nothing. */
  private static final long PAUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Time after a pause until streams and answers are up to date again. */
  private static final long CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private EndpointChecks() {}

  /** Notes that time passes, and looks at the endpoints that are avoided. */
  static void tick(RelayTurn turn) {
    RelayState state = turn.state;
    if (state.tickNanos != 0 && turn.nowNanos - state.tickNanos > PAUSED_NANOS) {
      state.caughtUpNanos = turn.nowNanos + CATCH_UP_NANOS;
    }
    state.tickNanos = turn.nowNanos;
    for (TrackedEndpoint endpoint : state.fleet.all()) {
      if (endpoint.entry().accelerator().isPresent()
          && endpoint.unresponsiveAt(turn.nowNanos)
          && endpoint.checkDue(turn.nowNanos, RECHECK_NANOS)) {
        check(turn, endpoint);
      }
    }
  }

  /** Tells whether this process was paused a moment ago. */
  static boolean catchingUp(RelayTurn turn) {
    return turn.nowNanos - turn.state.caughtUpNanos < 0;
  }

  /** Asks the parts of a silent stream for their reports, each at most once in a while. */
  static void suspectParts(RelayTurn turn, List<TrackedEndpoint> parts) {
    for (TrackedEndpoint endpoint : parts) {
      if (endpoint.checkDue(turn.nowNanos, ANSWER_HOLDS_NANOS)) {
        check(turn, endpoint);
      }
    }
  }

  private static void check(RelayTurn turn, TrackedEndpoint endpoint) {
    endpoint.checkStarted(turn.nowNanos);
    turn.emit(new RelayEffect.ReadReport(endpoint.id(), endpoint.entry().address()));
  }

  /** The endpoint lives; its report may name parts that do not. */
  static void answered(RelayTurn turn, RelayEvent.ReportRead event) {
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
    endpoint.checkAnswered(event.report().slowness());
    for (EndpointReport.Stalled stalled : event.report().stalled()) {
      turn.state
          .fleet
          .atAddress(stalled.deadPart())
          .filter(part -> part.lastProgressNanos() < turn.nowNanos - ANSWER_HOLDS_NANOS)
          .ifPresent(part -> avoid(turn, part, "named-as-dead"));
    }
  }

  /** The endpoint gave no report, on a kept connection and on a new one. */
  static void missed(RelayTurn turn, RelayEvent.ReportMissing event) {
    Optional<TrackedEndpoint> found = turn.state.fleet.find(event.endpoint());
    found.ifPresent(TrackedEndpoint::checkUnanswered);
    if (!catchingUp(turn)) {
      found.ifPresent(endpoint -> avoid(turn, endpoint, "no-report"));
    }
  }

  private static void avoid(RelayTurn turn, TrackedEndpoint endpoint, String reason) {
    Endpoints.suspect(turn, endpoint, reason);
    PathRepair.leadAround(turn, endpoint.id());
  }
}
