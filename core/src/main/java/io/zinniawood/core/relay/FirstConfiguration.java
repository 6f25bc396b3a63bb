package io.zinniawood.core.relay;

import io.zinniawood.core.route.RouteTable;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * First configuration of a relay that starts while the store may show an older one than it did
 * before it came back from a copy. The relay asks the others which version they apply, and does not
 * serve an older one as long as the operator may still write the newer one again.
 */
final class FirstConfiguration {
  /** Time for the messages of the others, once their presence rows are known: two intervals. */
  private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time after which the relay goes on although the presence rows cannot be read. */
  private static final long MAX_ASK_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Time after which an older version is applied although others have a newer one. */
  private static final long MAX_HOLD_NANOS = TimeUnit.SECONDS.toNanos(10);

  private Optional<RouteTable> offered = Optional.empty();
  private long offeredNanos;
  private Optional<Long> presencesNanos = Optional.empty();
  private long nextReadNanos;
  private boolean holdLogged;

  /** Returns whether the others must be asked before a first configuration is applied. */
  static boolean needed(RelayTurn turn) {
    RelayState state = turn.state;
    return state.routes.isEmpty()
        && StoreEras.perhapsRestored(turn)
        && state.parameters.peerAddress().isPresent();
  }

  /** Keeps a configuration that was read from the store until it may be applied. */
  void offer(RelayTurn turn, RouteTable routes) {
    if (offered.isEmpty()) {
      offeredNanos = turn.nowNanos;
      nextReadNanos = turn.nowNanos;
      turn.state.nextPresenceNanos = turn.nowNanos;
      ControllerLease.writePresence(turn);
    }
    if (offered.filter(known -> known.version() >= routes.version()).isEmpty()) {
      offered = Optional.of(routes);
    }
    tick(turn);
  }

  /** Records that the presence rows of the others were read. */
  void presencesRead(long nowNanos) {
    if (presencesNanos.isEmpty()) {
      presencesNanos = Optional.of(nowNanos);
    }
  }

  /** Applies the configuration once the others have been asked and know no newer one. */
  void tick(RelayTurn turn) {
    if (offered.isEmpty()) {
      return;
    }
    RouteTable routes = offered.get();
    long newest = turn.state.peers.newestRoutesVersion(turn.nowNanos);
    boolean expired = turn.nowNanos - offeredNanos >= MAX_HOLD_NANOS;
    if (asked(turn) && (newest <= routes.version() || expired)) {
      offered = Optional.empty();
      Lifecycle.apply(turn, routes);
    } else if (newest > routes.version() && !holdLogged) {
      holdLogged = true;
      turn.log("routes-held", "version", routes.version(), "newest", newest);
    } else if (presencesNanos.isEmpty() && turn.nowNanos - nextReadNanos >= 0) {
      nextReadNanos = turn.nowNanos + ANSWER_NANOS;
      turn.emit(new RelayEffect.ReadLease());
    }
  }

  private boolean asked(RelayTurn turn) {
    return presencesNanos.isPresent()
        ? turn.state.peers.allHeard() || turn.nowNanos - presencesNanos.get() >= ANSWER_NANOS
        : turn.nowNanos - offeredNanos >= MAX_ASK_NANOS;
  }
}
