package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.fleet.RemovedEntry;
import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.StoreVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Keeps the routes and the endpoint list up to date. Calls to the store are limited and shared by
 * all relays, so one relay reads and sends what it read to the others. Every relay reads for itself
 * as soon as its view is older than that explains, in the order of the relays' ids, so no relay
 * depends on another one.
 */
final class StoreReads {
  /**
   * Interval between reads of the endpoints. A long poll would return at once, as rows change with
   * each heartbeat. A draining endpoint must be noticed within two seconds.
   */
  private static final long ENDPOINTS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time for which the store holds a long poll of the routes open. */
  private static final long ROUTES_WAIT_MILLIS = 700;

  /** Age of the routes, beyond a long poll, after which a relay reads them itself. */
  private static final long ROUTES_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Minimum interval between reads of the routes while other relays know a newer version. */
  private static final long OLDER_ROUTES_READ_INTERVAL_MILLIS = 200;

  /** Time that a relay waits for another relay's read before it reads itself. */
  private static final long FOLLOWER_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Additional wait for each further relay that would read first. */
  private static final long RANK_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Maximum number of additional waits; bounds the age of the view if several relays fail. */
  private static final int MAX_RANK_DELAYS = 2;

  /** Consecutive failed reads of the endpoints after which the store counts as lost. */
  private static final int FAILURES_UNTIL_LOST = 2;

  private StoreReads() {}

  static void tick(RelayTurn turn) {
    RelayState state = turn.state;
    int rank = state.peers.readersBefore(state.parameters.vm(), turn.nowNanos);
    long rankDelayNanos =
        rank == 0
            ? 0
            : FOLLOWER_DELAY_NANOS + Math.min(rank - 1, MAX_RANK_DELAYS) * RANK_DELAY_NANOS;
    if (state.endpointReads.due(ENDPOINTS_INTERVAL_NANOS + rankDelayNanos, turn.nowNanos)) {
      state.endpointReads.sent();
      turn.emit(
          state.endpointsVersion.isEmpty()
              ? new RelayEffect.ListEndpoints()
              : new RelayEffect.ReadEndpointChanges(state.endpointsVersion.get()));
    }
    long routesMaxAgeNanos =
        rank == 0
            ? 0
            : TimeUnit.MILLISECONDS.toNanos(ROUTES_WAIT_MILLIS)
                + ROUTES_MARGIN_NANOS
                + rankDelayNanos;
    if (state.routeReads.due(routesMaxAgeNanos, turn.nowNanos)) {
      state.routeReads.sent();
      state.routesAskedAfter = state.routesStoreVersion;
      turn.emit(
          state.routesStoreVersion.isEmpty()
              ? new RelayEffect.ReadRoutes()
              : new RelayEffect.AwaitRoutes(
                  state.routesStoreVersion.get(), rank == 0 ? ROUTES_WAIT_MILLIS : 0));
    }
  }

  static void endpointsListed(RelayTurn turn, RelayEvent.EndpointsListed event) {
    if (!answered(turn, event.version(), event.storeMillis())) {
      return;
    }
    turn.state.endpointsVersion = Optional.of(event.version());
    FleetUpdates.endpointsListed(turn, event.endpoints(), event.version());
  }

  static void endpointsChanged(RelayTurn turn, RelayEvent.EndpointsChanged event) {
    if (!answered(turn, event.version(), event.storeMillis())) {
      return;
    }
    RelayState state = turn.state;
    Optional<StoreVersion> known =
        state.endpointsVersion.filter(version -> version.sameEra(event.version()));
    if (known.isEmpty() || beginsLater(event.afterVersion(), known.get())) {
      // Changes between what is known and what was read are missing.
      state.endpointReads.invalidate();
      return;
    }
    if (known.get().isAfter(event.version())) {
      // While the answer was on its way, other relays shared what they had read after it.
      logIgnored(turn, "store", event.afterVersion(), event.version(), ids(event.removed()));
      return;
    }
    List<SharedRead> reads =
        SharedReads.split(event, known.get(), entry -> onlyCheckIn(turn, entry));
    state.endpointsVersion = Optional.of(event.version());
    FleetUpdates.endpointsChanged(
        turn, event.changed(), ids(event.removed()), "feed", event.version());
    for (SharedRead read : reads) {
      PeerExchange.send(turn, Optional.of(read));
    }
  }

  private static boolean beginsLater(StoreVersion after, StoreVersion known) {
    return !after.sameEra(known) || after.isAfter(known);
  }

  private static List<EndpointId> ids(List<RemovedEntry> removed) {
    return removed.stream().map(RemovedEntry::id).toList();
  }

  /** Records an answer about the endpoints; returns whether it is of the present era. */
  private static boolean answered(RelayTurn turn, StoreVersion version, long storeMillis) {
    RelayState state = turn.state;
    if (!StoreEras.accepts(turn, version.era())) {
      state.endpointReads.failed(turn.nowNanos);
      return false;
    }
    state.storeClock.observe(storeMillis, turn.nowNanos);
    state.endpointReads.answered(turn.nowNanos);
    available(turn);
    return true;
  }

  private static void available(RelayTurn turn) {
    turn.state.failedEndpointReads = 0;
    if (turn.state.fleet.storeUnavailable()) {
      FleetUpdates.storeRegained(turn);
    }
    turn.state.fleet.storeAnswered(turn.nowNanos);
  }

  static void endpointsReadFailed(RelayTurn turn, RelayEvent.EndpointsReadFailed event) {
    RelayState state = turn.state;
    if (event.cause() == StoreReadFailure.HISTORY_GONE) {
      state.endpointsVersion = Optional.empty();
      state.endpointReads.answered(turn.nowNanos);
      state.endpointReads.invalidate();
      return;
    }
    state.endpointReads.failed(turn.nowNanos);
    state.failedEndpointReads++;
    if (state.failedEndpointReads >= FAILURES_UNTIL_LOST && !state.fleet.storeUnavailable()) {
      FleetUpdates.storeLost(turn);
    }
  }

  static void routesAnswered(RelayTurn turn, RelayEvent.RoutesAnswered event) {
    RelayState state = turn.state;
    StoreVersion version = event.storeVersion();
    if (!StoreEras.accepts(turn, version.era())) {
      state.routeReads.failed(turn.nowNanos);
      return;
    }
    state.routeReads.answered(turn.nowNanos);
    if (state.routesAskedAfter.filter(after -> !after.sameEra(version)).isPresent()) {
      // No change after a version of a former era says nothing about this era.
      state.routeReads.invalidate();
    } else if (state.routesStoreVersion.filter(known -> !version.isAfter(known)).isEmpty()) {
      state.routesStoreVersion = Optional.of(version);
    }
    boolean newer =
        event.routes().filter(routes -> routes.version() > state.routesVersion()).isPresent();
    event.routes().ifPresent(routes -> Lifecycle.routesRead(turn, routes));
    if (newer) {
      PeerExchange.send(turn, Optional.empty());
    }
  }

  static void routesReadFailed(RelayTurn turn, RelayEvent.RoutesReadFailed event) {
    if (event.cause() == StoreReadFailure.HISTORY_GONE) {
      turn.state.routesStoreVersion = Optional.empty();
      turn.state.routeReads.answered(turn.nowNanos);
      turn.state.routeReads.invalidate();
    } else {
      turn.state.routeReads.failed(turn.nowNanos);
    }
  }

  /** Applies what another relay read. */
  static void peerRead(RelayTurn turn, PeerMessage message) {
    RelayState state = turn.state;
    if (!state.storeEraKnown || !message.storeEra().equals(state.storeEra)) {
      peerInAnotherEra(turn, message);
      return;
    }
    if (message.routesVersion() == state.routesVersion()) {
      state.routeReads.confirmed(
          turn.nowNanos - TimeUnit.MILLISECONDS.toNanos(message.routesAgeMillis()));
    } else if (message.routesVersion() > state.routesVersion()) {
      newerRoutesKnown(turn, message.routesVersion());
    }
    message.read().ifPresent(read -> applyRead(turn, message, read));
    state.fleet.storeAnsweredElsewhere(message.storeSteadyMillis(), turn.nowNanos);
  }

  /** Reads the routes, but not with each message while the store shows an older version. */
  private static void newerRoutesKnown(RelayTurn turn, long version) {
    RelayState state = turn.state;
    if (version > state.toldRoutesVersion
        || state.routeReads.ageMillis(turn.nowNanos) >= OLDER_ROUTES_READ_INTERVAL_MILLIS) {
      state.toldRoutesVersion = Math.max(state.toldRoutesVersion, version);
      state.routeReads.invalidate();
    }
  }

  /** The versions of another era mean nothing here; a later era makes this relay read itself. */
  private static void peerInAnotherEra(RelayTurn turn, PeerMessage message) {
    RelayState state = turn.state;
    if (message.read().isPresent()) {
      state.ignoredLog.log(
          turn,
          "peer-read-ignored",
          "vm",
          message.vm().value(),
          "version",
          message.read().get().version(),
          "era",
          state.storeEra.value());
    }
    if (state.storeEraKnown && message.storeEra().isLaterThan(state.storeEra)) {
      state.endpointReads.invalidate();
      state.routeReads.invalidate();
    } else if (message.routesVersion() > state.routesVersion()) {
      newerRoutesKnown(turn, message.routesVersion());
    }
  }

  private static void applyRead(RelayTurn turn, PeerMessage message, SharedRead read) {
    RelayState state = turn.state;
    if (state.endpointsVersion.isEmpty()) {
      return;
    }
    StoreVersion known = state.endpointsVersion.get();
    if (read.afterVersion().isAfter(known)) {
      // A message was lost.
      state.endpointReads.invalidate();
      return;
    }
    if (!read.version().isAfter(known)) {
      confirm(turn, read);
      if (!read.version().equals(known)) {
        logIgnored(turn, message.vm().value(), read.afterVersion(), read.version(), read.removed());
      }
      return;
    }
    Optional<List<FleetEndpoint>> changed = changedEntries(turn, read, known);
    if (changed.isEmpty()) {
      state.endpointReads.invalidate();
      return;
    }
    confirm(turn, read);
    available(turn);
    state.fleet.storeAnsweredElsewhere(message.storeSteadyMillis(), turn.nowNanos);
    state.endpointsVersion = Optional.of(read.version());
    FleetUpdates.endpointsChanged(
        turn, changed.get(), read.removed(), message.vm().value(), read.version());
  }

  /** Counts the view as fresh from the time at which the store gave the answer. */
  private static void confirm(RelayTurn turn, SharedRead read) {
    RelayState state = turn.state;
    state.storeClock.observe(read.storeMillis(), turn.nowNanos);
    long ageMillis = state.storeClock.ageMillis(read.storeMillis(), turn.nowNanos);
    state.endpointReads.confirmed(turn.nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis));
  }

  private static void logIgnored(
      RelayTurn turn,
      String reader,
      StoreVersion after,
      StoreVersion version,
      List<EndpointId> removed) {
    turn.state.ignoredLog.log(
        turn,
        "peer-read-ignored",
        "vm",
        reader,
        "after",
        after,
        "version",
        version,
        "known",
        turn.state.endpointsVersion.map(StoreVersion::toString).orElse("none"),
        "removed",
        removed.stream().map(EndpointId::value).collect(Collectors.joining(",")));
  }

  /**
   * Returns the entries that a shared read changes, or empty if this relay lacks the entry that a
   * heartbeat continues, so that it must read the store itself.
   */
  private static Optional<List<FleetEndpoint>> changedEntries(
      RelayTurn turn, SharedRead read, StoreVersion known) {
    List<FleetEndpoint> changed = new ArrayList<>(read.changed());
    for (SharedRead.Heartbeat heartbeat : read.heartbeats()) {
      if (!heartbeat.rowVersion().isAfter(known)) {
        continue;
      }
      Optional<FleetEndpoint> continued =
          turn.state
              .fleet
              .find(heartbeat.endpoint())
              .map(TrackedEndpoint::entry)
              .filter(entry -> entry.rowVersion().sameEra(heartbeat.rowVersion()))
              .filter(entry -> entry.contentHash() == heartbeat.contentHash());
      if (continued.isEmpty()) {
        return Optional.empty();
      }
      changed.add(continued.get().asOf(heartbeat.sequence(), heartbeat.rowVersion()));
    }
    return Optional.of(changed);
  }

  /** Returns whether an entry differs from the known one only by its check-in. */
  private static boolean onlyCheckIn(RelayTurn turn, FleetEndpoint entry) {
    return turn.state
        .fleet
        .find(entry.id())
        .map(TrackedEndpoint::entry)
        .filter(known -> known.rowVersion().sameEra(entry.rowVersion()))
        .filter(known -> known.asOf(entry.sequence(), entry.rowVersion()).equals(entry))
        .isPresent();
  }
}
