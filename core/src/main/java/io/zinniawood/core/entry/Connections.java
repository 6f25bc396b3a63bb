package io.zinniawood.core.entry;

import io.zinniawood.core.entry.limits.Backoff;
import io.zinniawood.core.entry.membership.ConnectionState;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.id.EndpointId;

/**
 * Opens and reopens connections to agents. An endpoint counts as lost only once a new connection to
 * it cannot be opened or ends at once.
 */
final class Connections {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long RECONNECT_BASE_MILLIS = 100;
  private static final long RECONNECT_MAX_MILLIS = 5_000;

  /**
   * A connection that ends sooner counts as a failed attempt; otherwise the entry would reconnect
   * in a tight loop to an agent that accepts connections and closes them at once.
   */
  private static final long MIN_CONNECTION_LIFETIME_NANOS = 1_000_000_000L;

  private Connections() {}

  /** Starts to open a connection; the result arrives as an event. */
  static void connect(Turn turn, Member member) {
    turn.updateMember(
        member.endpoint(),
        known -> known.with(known.connection().withState(ConnectionState.CONNECTING)));
    turn.emit(new EntryEffect.ConnectAgent(member.endpoint(), member.placement().address()));
  }

  static void handleDisconnect(Turn turn, EntryEvent.AgentDisconnected event) {
    EndpointId endpoint = event.endpoint();
    if (!turn.fleet().connectedAs(endpoint, event.incarnation())) {
      return;
    }
    if (event.reason() == DisconnectReason.SILENT) {
      turn.recordIncident(
          IncidentKind.CONNECTION_SILENT,
          endpoint.value(),
          "probes were not acknowledged; a new connection is opened");
    }
    Member member = turn.fleet().member(endpoint).get();
    if (turn.nowNanos() - member.connection().openedAtNanos() >= MIN_CONNECTION_LIFETIME_NANOS) {
      turn.updateMember(endpoint, known -> known.with(known.connection().withoutFailures()));
      connect(turn, member);
    } else {
      recordFailure(turn, endpoint);
    }
  }

  /** Counts a failed attempt to connect and schedules the next one. */
  static void handleConnectFailure(Turn turn, EndpointId endpoint) {
    if (turn.fleet()
        .member(endpoint)
        .exists(member -> member.connection().state() == ConnectionState.CONNECTING)) {
      recordFailure(turn, endpoint);
    }
  }

  private static void recordFailure(Turn turn, EndpointId endpoint) {
    Member member = turn.fleet().member(endpoint).get();
    turn.updateMember(endpoint, known -> known.with(known.connection().withFailure()));
    int failures = member.connection().consecutiveFailures() + 1;
    turn.startTimer(
        new EntryTimer.ReconnectDelay(endpoint),
        Backoff.delayNanos(
            failures, RECONNECT_BASE_MILLIS, RECONNECT_MAX_MILLIS, turn.nextDouble()));
    if (failures == 1 && !member.leaving()) {
      turn.recordIncident(
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

  /** Closes what may be open of a connection in use and opens a new one after a delay. */
  static void reopen(Turn turn, EndpointId endpoint) {
    ConnectionState state =
        turn.fleet()
            .member(endpoint)
            .map(member -> member.connection().state())
            .getOrElse(ConnectionState.IDLE);
    if (state != ConnectionState.CONNECTED && state != ConnectionState.CONNECTING) {
      return;
    }
    turn.emit(new EntryEffect.DisconnectAgent(endpoint));
    turn.updateMember(endpoint, known -> known.with(known.connection().withFailure()));
    turn.startTimer(
        new EntryTimer.ReconnectDelay(endpoint), RECONNECT_MAX_MILLIS * NANOS_PER_MILLI);
  }

  /** Reconnects after the backoff, or removes an endpoint that is no longer in the VM list. */
  static void reconnectDelayElapsed(Turn turn, EndpointId endpoint) {
    for (Member member : turn.fleet().member(endpoint)) {
      if (member.connection().state() != ConnectionState.WAITING) {
        continue;
      }
      if (mayRemove(turn, member)) {
        turn.update(state -> state.withFleet(state.fleet().without(endpoint)));
      } else {
        connect(turn, member);
      }
    }
  }

  /**
   * Tells whether an endpoint without a connection may be removed: the VM list lacks it and no work
   * is in flight there. It is kept while the list lacks more of its pool than the maximum ejected
   * share, as the list is then more likely to be wrong.
   */
  private static boolean mayRemove(Turn turn, Member member) {
    if (member.placement().listed() || member.workload().inFlight() > 0) {
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
