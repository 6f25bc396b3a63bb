package io.zinniawood.core.relay;

import io.zinniawood.core.route.RouteTable;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Start, readiness and end of a relay. */
final class Lifecycle {
  /** Time in which the balancer notices: it asks every second and needs two misses. */
  private static final long BALANCER_DETECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(3_500);

  /** Time after the order to terminate in which new requests are taken. */
  private static final long DRAIN_ACCEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_800);

  private Lifecycle() {}

  /** Takes a newer version of the routing table; older ones are ignored. */
  static void routesRead(RelayTurn turn, RelayEvent.RoutesRead event) {
    RouteTable routes = event.routes();
    if (turn.state.routes.isPresent() && routes.version() <= turn.state.routesVersion()) {
      return;
    }
    turn.log("routes-accepted", "version", routes.version(), "before", turn.state.routesVersion());
    turn.state.routes = Optional.of(routes);
    turn.emit(new RelayEffect.ApplyLimits(routes.limits()));
    updateReadiness(turn);
  }

  /** Tells the balancer about a change of readiness. */
  static void updateReadiness(RelayTurn turn) {
    RelayState state = turn.state;
    boolean ready = state.routes.isPresent() && state.fleet.listed() && !state.terminating;
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
    turn.log("draining", "openRequests", turn.state.open.size());
    updateReadiness(turn);
  }

  /** Tells whether a drain has lasted so long that a new request might not end in time. */
  static boolean refusesNewRequests(RelayTurn turn) {
    return turn.state.terminating
        && turn.nowNanos - turn.state.terminationNanos >= DRAIN_ACCEPT_NANOS;
  }

  /** Ends the process once the balancer has noticed and nothing is in progress. */
  static void tick(RelayTurn turn) {
    RelayState state = turn.state;
    if (state.terminating
        && !state.stopped
        && state.open.isEmpty()
        && turn.nowNanos - state.terminationNanos >= BALANCER_DETECTION_NANOS) {
      state.stopped = true;
      turn.emit(new RelayEffect.Stop());
    }
  }
}
