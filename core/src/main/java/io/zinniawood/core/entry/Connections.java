package io.zinniawood.core.entry;

import io.zinniawood.core.entry.limits.Backoff;
import io.zinniawood.core.entry.membership.Link;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.id.EndpointId;

/** Replaces lost connections. An endpoint is blamed only once a new connection failed. */
final class Connections {
  private static final long RECONNECT_BASE_MILLIS = 100;
  private static final long RECONNECT_MAX_MILLIS = 5_000;

  /**
   * A connection that ends sooner counts as a failed one; otherwise an agent that accepts and
   * closes at once would be connected to in a tight loop.
   */
  private static final long LASTING_NANOS = 1_000_000_000L;

  private Connections() {}

  /** Opens a connection; the result comes as an event. */
  static void connect(Turn turn, Member member) {
    turn.updateMember(
        member.endpoint(), known -> known.with(known.connection().to(Link.CONNECTING)));
    turn.emit(new EntryEffect.ConnectAgent(member.endpoint(), member.placement().address()));
  }

  static void disconnected(Turn turn, EntryEvent.AgentDisconnected event) {
    EndpointId endpoint = event.endpoint();
    if (!turn.fleet().connectedAs(endpoint, event.incarnation())) {
      return;
    }
    if (event.reason() == DisconnectReason.SILENT) {
      turn.incident(
          IncidentKind.CONNECTION_SILENT,
          endpoint.value(),
          "probes were not acknowledged; a new connection is opened");
    }
    Member member = turn.fleet().member(endpoint).get();
    if (turn.nowNanos() - member.connection().sinceNanos() >= LASTING_NANOS) {
      turn.updateMember(endpoint, known -> known.with(known.connection().proven()));
      connect(turn, member);
    } else {
      failed(turn, endpoint);
    }
  }

  /** Blames the endpoint, as a new connection cannot be opened, and tries again later. */
  static void connectFailed(Turn turn, EndpointId endpoint) {
    if (turn.fleet()
        .member(endpoint)
        .exists(member -> member.connection().link() == Link.CONNECTING)) {
      failed(turn, endpoint);
    }
  }

  private static void failed(Turn turn, EndpointId endpoint) {
    Member member = turn.fleet().member(endpoint).get();
    turn.updateMember(endpoint, known -> known.with(known.connection().failed()));
    int failures = member.connection().failures() + 1;
    turn.startTimer(
        new EntryTimer.ReconnectDelay(endpoint),
        Backoff.delayNanos(failures, RECONNECT_BASE_MILLIS, RECONNECT_MAX_MILLIS, turn.nextUnit()));
    if (failures == 1 && !member.leaving()) {
      turn.incident(
          IncidentKind.ENDPOINT_LOST,
          endpoint.value(),
          "no connection can be opened; its stages are replaced");
    }
    member
        .connection()
        .incarnation()
        .forEach(lost -> SessionFailures.endpointLost(turn, endpoint, lost));
    AttemptFailures.endpointUnreachable(turn, endpoint);
  }

  /** Connects again after the backoff, or forgets an endpoint that left the list. */
  static void delayOver(Turn turn, EndpointId endpoint) {
    for (Member member : turn.fleet().member(endpoint)) {
      if (member.connection().link() != Link.WAITING) {
        continue;
      }
      if (mayForget(turn, member)) {
        turn.update(state -> state.withFleet(state.fleet().without(endpoint)));
      } else {
        connect(turn, member);
      }
    }
  }

  /**
   * An endpoint that neither the list nor a connection shows is forgotten, unless the list lacks so
   * much of the pool that the list is more likely wrong.
   */
  private static boolean mayForget(Turn turn, Member member) {
    if (member.placement().listed() || member.work().inFlight() > 0) {
      return false;
    }
    var pool =
        turn.fleet()
            .members()
            .values()
            .filter(other -> other.placement().pool().equals(member.placement().pool()));
    double share = turn.state().cluster().map(c -> c.routing().maxEjectedShare()).getOrElse(0.0);
    return pool.count(other -> !other.placement().listed()) <= pool.size() * share;
  }
}
