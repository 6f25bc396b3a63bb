package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.FleetEndpoint;
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

  /** Maximum number of entries in a message between relays, so that it fits into a packet. */
  private static final int MAX_ENTRIES_PER_MESSAGE = 50;

  /** Entries that take the space of one changed entry, relative to a heartbeat. */
  private static final int CHANGED_ENTRY_WEIGHT = 4;

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
    if (!event.afterVersion().sameEra(event.version())) {
      turn.state.endpointReads.invalidate();
      return;
    }
    List<SharedRead> reads = sharedReads(turn, event);
    turn.state.endpointsVersion = Optional.of(event.version());
    FleetUpdates.endpointsChanged(turn, event.changed(), event.removed(), "feed", event.version());
    for (SharedRead read : reads) {
      PeerExchange.send(turn, Optional.of(read));
    }
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
    if (read.afterVersion().isAfter(known) || !knowsAll(turn, read)) {
      // A message was lost.
      state.endpointReads.invalidate();
      return;
    }
    state.storeClock.observe(read.storeMillis(), turn.nowNanos);
    long ageMillis = state.storeClock.ageMillis(read.storeMillis(), turn.nowNanos);
    state.endpointReads.confirmed(turn.nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis));
    if (!read.version().isAfter(known)) {
      state.ignoredLog.log(
          turn,
          "peer-read-ignored",
          "vm",
          message.vm().value(),
          "after",
          read.afterVersion(),
          "version",
          read.version(),
          "known",
          known,
          "removed",
          read.removed().stream().map(EndpointId::value).collect(Collectors.joining(",")));
      return;
    }
    available(turn);
    state.fleet.storeAnsweredElsewhere(message.storeSteadyMillis(), turn.nowNanos);
    state.endpointsVersion = Optional.of(read.version());
    List<FleetEndpoint> changed = new ArrayList<>(read.changed());
    for (SharedRead.Heartbeat heartbeat : read.heartbeats()) {
      state
          .fleet
          .find(heartbeat.endpoint())
          .ifPresent(
              endpoint ->
                  changed.add(endpoint.entry().asOf(heartbeat.sequence(), heartbeat.rowVersion())));
    }
    FleetUpdates.endpointsChanged(
        turn, changed, read.removed(), message.vm().value(), read.version());
  }

  private static boolean knowsAll(RelayTurn turn, SharedRead read) {
    for (SharedRead.Heartbeat heartbeat : read.heartbeats()) {
      boolean known =
          turn.state
              .fleet
              .find(heartbeat.endpoint())
              .filter(found -> found.entry().rowVersion().sameEra(heartbeat.rowVersion()))
              .isPresent();
      if (!known) {
        return false;
      }
    }
    return true;
  }

  /**
   * Splits the changes into messages. The entries are in the order of their versions, so each
   * message is complete up to the version of its last entry.
   */
  private static List<SharedRead> sharedReads(RelayTurn turn, RelayEvent.EndpointsChanged event) {
    List<FleetEndpoint> entries = new ArrayList<>(event.changed());
    entries.sort(
        (left, right) -> Long.compare(left.rowVersion().number(), right.rowVersion().number()));
    List<SharedRead> reads = new ArrayList<>();
    List<FleetEndpoint> changed = new ArrayList<>();
    List<SharedRead.Heartbeat> heartbeats = new ArrayList<>();
    // Removals go into the first message: a relay that lacks it reads the store from there on.
    List<EndpointId> removed = event.removed();
    StoreVersion after = event.afterVersion();
    for (FleetEndpoint entry : entries) {
      int weight = changed.size() * CHANGED_ENTRY_WEIGHT + heartbeats.size();
      if (weight >= MAX_ENTRIES_PER_MESSAGE) {
        StoreVersion version = entry.rowVersion().withNumber(entry.rowVersion().number() - 1);
        reads.add(
            new SharedRead(after, version, event.storeMillis(), changed, heartbeats, removed));
        after = version;
        changed.clear();
        heartbeats.clear();
        removed = List.of();
      }
      if (onlyHeartbeat(turn, entry)) {
        heartbeats.add(new SharedRead.Heartbeat(entry.id(), entry.sequence(), entry.rowVersion()));
      } else {
        changed.add(entry);
      }
    }
    reads.add(
        new SharedRead(after, event.version(), event.storeMillis(), changed, heartbeats, removed));
    return reads;
  }

  private static boolean onlyHeartbeat(RelayTurn turn, FleetEndpoint entry) {
    return turn.state
        .fleet
        .find(entry.id())
        .map(TrackedEndpoint::entry)
        .filter(known -> known.rowVersion().sameEra(entry.rowVersion()))
        .filter(known -> known.asOf(entry.sequence(), entry.rowVersion()).equals(entry))
        .isPresent();
  }
}
