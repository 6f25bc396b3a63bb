package io.zinniawood.core.relay;

import io.zinniawood.core.route.RouteTable;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Handles routing table updates, readiness, draining and shutdown of a relay. */
final class Lifecycle {
  /**
   * Time for the load balancer to notice that this relay is not ready: it probes every second and
   * needs two failed probes.
   */
  private static final long BALANCER_DETECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(3_500);

  /** Time after the termination request in which new requests are still accepted. */
  private static final long DRAIN_ACCEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_800);

  private Lifecycle() {}

  /** Takes over a newer version of the routing table; ignores others. */
  static void routesRead(RelayTurn turn, RouteTable routes) {
    if (turn.state.routes.isPresent() && routes.version() <= turn.state.routesVersion()) {
      return;
    }
    if (FirstConfiguration.needed(turn)) {
      turn.state.firstConfiguration.offer(turn, routes);
    } else {
      apply(turn, routes);
    }
  }

  /** Puts a routing table into force. */
  static void apply(RelayTurn turn, RouteTable routes) {
    turn.log("routes-accepted", "version", routes.version(), "before", turn.state.routesVersion());
    turn.state.routes = Optional.of(routes);
    turn.emit(new RelayEffect.ApplyLimits(routes.limits()));
    updateReadiness(turn);
  }

  /** Recomputes readiness and, if it changed, logs it and reports it to the load balancer. */
  static void updateReadiness(RelayTurn turn) {
    RelayState state = turn.state;
    boolean ready = state.routes.isPresent() && state.fleet.listLoaded() && !state.terminating;
    if (ready != state.ready) {
      state.ready = ready;
      turn.log(
          "readiness",
          "ready",
          ready,
          "routesVersion",
          state.routesVersion(),
          "endpoints",
          state.endpoints(),
          "terminating",
          state.terminating);
      turn.emit(new RelayEffect.SetReadiness(ready));
    }
  }

  static void terminationRequested(RelayTurn turn) {
    if (turn.state.terminating) {
      return;
    }
    turn.state.terminating = true;
    turn.state.terminationNanos = turn.nowNanos;
    turn.log(
        "draining",
        "openRequests",
        turn.state.open.size(),
        "waiting",
        turn.state.waiting.size(),
        "graceLeftMillis",
        GracePeriod.millisLeft(turn));
    updateReadiness(turn);
  }

  /** Returns whether the drain has gone on for so long that a new request might not finish. */
  static boolean refusesNewRequests(RelayTurn turn) {
    return turn.state.terminating
        && turn.nowNanos - turn.state.terminationNanos >= DRAIN_ACCEPT_NANOS;
  }

  /** Stops the process once the load balancer has noticed and no request is open. */
  static void tick(RelayTurn turn) {
    RelayState state = turn.state;
    boolean balancerNoticed =
        turn.nowNanos - state.terminationNanos >= BALANCER_DETECTION_NANOS
            || turn.nowNanos - GracePeriod.workEndNanos(state) >= 0;
    if (state.terminating && !state.stopped && state.open.isEmpty() && balancerNoticed) {
      state.stopped = true;
      turn.log("drained", "graceLeftMillis", GracePeriod.millisLeft(turn));
      turn.emit(new RelayEffect.Stop());
    }
  }
}
