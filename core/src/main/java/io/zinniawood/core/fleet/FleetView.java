package io.zinniawood.core.fleet;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.limit.EndpointLimits;
import io.zinniawood.core.model.NodeAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Endpoints known to a process. The platform's endpoint list decides which endpoints exist;
 * failures and missing responses only cause an endpoint to be avoided for some time, or until it
 * responds again. Not thread-safe; confined to the reducer.
 */
public final class FleetView {
  /**
   * Time of avoidance after a first failure; longer than the three heartbeats after which the list
   * drops a dead endpoint.
   */
  private static final long FAILURE_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

  /** A heartbeat that arrives later than this after a failure was sent after the failure. */
  private static final long MAX_HEARTBEAT_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

  /** Time of avoidance after a refusal for lack of slots, of memory or of the layers. */
  private static final long REFUSAL_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Maximum number of times that consecutive failures double the time of avoidance. */
  private static final int MAX_AVOIDANCE_DOUBLINGS = 2;

  /** Time for which a copy of the store may still list an endpoint that has left. */
  private static final long MAX_COPY_AGE_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final Map<EndpointId, TrackedEndpoint> endpointsById = new HashMap<>();
  private final LeavingEndpoints leaving = new LeavingEndpoints();
  private final EndpointLimits limits = new EndpointLimits();
  private final StoreContinuity store = new StoreContinuity();

  /** Pauses of endpoints that are not in the list, in case they reappear. */
  private final Map<EndpointId, EndpointPause> unlistedPausesById = new HashMap<>();

  private final Map<EndpointId, Departure> departures = new HashMap<>();
  private final CheckInHistory checkIns = new CheckInHistory();
  private StoreVersion listVersion = new StoreVersion(StoreEra.UNNAMED, 0);

  /** Version that the store had when this process first saw its present era; empty at first. */
  private Optional<StoreVersion> copyVersion = Optional.empty();

  private boolean listLoaded;
  private long lastEndpointAddedNanos;

  private record Departure(FleetEndpoint entry, long atNanos) {}

  /** Returns whether the endpoint list has been read at least once. */
  public boolean listLoaded() {
    return listLoaded;
  }

  /** Returns the monotonic time in nanoseconds at which the last new endpoint was added. */
  public long lastEndpointAddedNanos() {
    return lastEndpointAddedNanos;
  }

  /** Returns the endpoints that said themselves that they are leaving. */
  public LeavingEndpoints leaving() {
    return leaving;
  }

  /** Returns the limits that endpoints name in their answers. */
  public EndpointLimits limits() {
    return limits;
  }

  /** Returns all known endpoints. */
  public Collection<TrackedEndpoint> all() {
    return endpointsById.values();
  }

  /** Returns the endpoint with an id, or empty if it is unknown or removed. */
  public Optional<TrackedEndpoint> find(EndpointId id) {
    return Optional.ofNullable(endpointsById.get(id));
  }

  /** Returns the endpoint at an address, or empty if none is known there. */
  public Optional<TrackedEndpoint> atAddress(NodeAddress address) {
    for (TrackedEndpoint candidate : endpointsById.values()) {
      if (candidate.entry().address().equals(address)) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  /** Returns the endpoints of a service. */
  public List<TrackedEndpoint> ofService(ServiceName service) {
    List<TrackedEndpoint> found = new ArrayList<>();
    for (TrackedEndpoint candidate : endpointsById.values()) {
      if (candidate.entry().service().equals(service)) {
        found.add(candidate);
      }
    }
    return found;
  }

  /**
   * Applies a full endpoint list: endpoints that it lacks are removed. The first list of another
   * era shows the store as it came back from a copy: entries that it lacks may reappear.
   *
   * @param version version of the store that the list shows
   * @return entries that were ignored for their version
   */
  public List<FleetEndpoint> replaceAll(
      List<FleetEndpoint> endpoints, StoreVersion version, long nowNanos) {
    if (listLoaded && !version.sameEra(listVersion)) {
      copyVersion = Optional.of(version);
      store.restored(nowNanos);
    }
    listLoaded = true;
    listVersion = version;
    Set<EndpointId> present = new HashSet<>();
    for (FleetEndpoint endpoint : endpoints) {
      present.add(endpoint.id());
    }
    List<EndpointId> missing = new ArrayList<>();
    for (EndpointId id : endpointsById.keySet()) {
      if (!present.contains(id)) {
        missing.add(id);
      }
    }
    return applyChanges(endpoints, missing, nowNanos);
  }

  /**
   * Applies changes of the endpoint list. Shortly after a store outage, removed entries are kept,
   * as they may have expired in it and reappear, unless the endpoint has said that it leaves or has
   * checked in since.
   *
   * @return entries that were ignored for their version, or because they were written late
   */
  public List<FleetEndpoint> applyChanges(
      List<FleetEndpoint> changed, List<EndpointId> removed, long nowNanos) {
    List<FleetEndpoint> ignored = new ArrayList<>();
    for (FleetEndpoint endpoint : changed) {
      if (!apply(endpoint, nowNanos)) {
        ignored.add(endpoint);
      }
    }
    long graceNanos = store.reappearanceGraceNanos(nowNanos);
    for (EndpointId id : removed) {
      TrackedEndpoint known = endpointsById.get(id);
      if (known != null) {
        boolean left = known.announcedLeaving() || checkedInAfterOutage(known);
        known.scheduleRemoval(left ? nowNanos : nowNanos + graceNanos);
      }
    }
    removeExpired(nowNanos);
    return ignored;
  }

  /** Applies an entry; returns false if it is ignored. */
  private boolean apply(FleetEndpoint endpoint, long nowNanos) {
    Optional<TrackedEndpoint> known = find(endpoint.id());
    boolean perhapsCopy = perhapsCopy(endpoint);
    if (known.filter(found -> !found.supersededBy(endpoint, perhapsCopy)).isPresent()) {
      return false;
    }
    boolean late = !perhapsCopy && checkIns.writtenLate(endpoint, nowNanos);
    if (late) {
      checkIns.recordLate(endpoint, nowNanos);
    } else if (!perhapsCopy) {
      checkIns.recordCheckIn(endpoint, nowNanos);
    }
    if (known.isEmpty()) {
      endpointsById.put(endpoint.id(), trackedEndpoint(endpoint, late || departed(endpoint)));
      lastEndpointAddedNanos = nowNanos;
      return true;
    }
    if (!late) {
      known.get().update(endpoint, nowNanos, MAX_HEARTBEAT_LAG_NANOS, perhapsCopy);
    }
    return !late;
  }

  private boolean checkedInAfterOutage(TrackedEndpoint known) {
    return known.checkInNanos().isPresent()
        && store.madeAfterOutage(known.checkInNanos().getAsLong());
  }

  private TrackedEndpoint trackedEndpoint(FleetEndpoint endpoint, boolean withdrawn) {
    EndpointPause pause = unlistedPausesById.remove(endpoint.id());
    return new TrackedEndpoint(
        endpoint, withdrawn, leaving, limits, pause == null ? new EndpointPause() : pause);
  }

  /**
   * Keeps requests away from an endpoint until a time, unless it has started anew.
   *
   * @param endpoint start of the endpoint that wants no requests
   */
  public void pause(EndpointIncarnation endpoint, long untilNanos, long nowNanos) {
    unlistedPausesById.values().removeIf(pause -> pause.untilNanos() - nowNanos < 0);
    find(endpoint.endpoint())
        .map(TrackedEndpoint::pause)
        .orElseGet(
            () ->
                unlistedPausesById.computeIfAbsent(endpoint.endpoint(), id -> new EndpointPause()))
        .extend(endpoint.startedMillis(), untilNanos);
  }

  /** Removes endpoints that did not reappear in time. */
  public void removeExpired(long nowNanos) {
    limits.removeExpired(nowNanos);
    departures.values().removeIf(gone -> nowNanos - gone.atNanos() >= MAX_COPY_AGE_NANOS);
    endpointsById.values().removeIf(known -> removed(known, nowNanos));
    checkIns.removeExpired(endpointsById::containsKey, nowNanos);
  }

  private boolean removed(TrackedEndpoint known, long nowNanos) {
    boolean due = known.removalDue(nowNanos, store.reappearanceGraceNanos(nowNanos));
    if (due) {
      departures.put(known.id(), new Departure(known.entry(), nowNanos));
    }
    if (due && known.pausedAt(nowNanos)) {
      unlistedPausesById.put(known.id(), known.pause());
    }
    return due;
  }

  /** Returns whether the entry may come from the copy rather than from its endpoint. */
  private boolean perhapsCopy(FleetEndpoint endpoint) {
    return copyVersion
        .filter(copy -> copy.sameEra(endpoint.rowVersion()))
        .filter(copy -> !endpoint.rowVersion().isAfter(copy))
        .isPresent();
  }

  private boolean departed(FleetEndpoint endpoint) {
    Departure departure = departures.get(endpoint.id());
    return departure != null
        && (departure.entry().sameIncarnation(endpoint)
            || endpoint.startedMillis() < departure.entry().startedMillis());
  }

  /** Records that the store stopped answering. */
  public void storeLost() {
    store.lost();
  }

  /** Records that the store answered this process, or another one that passed the answer on. */
  public void storeAnswered(long nowNanos) {
    store.answered(nowNanos);
  }

  /**
   * Applies for how long the store has answered another process without interruption.
   *
   * @param steadyMillis that time in milliseconds; 0 if unknown
   */
  public void storeAnsweredElsewhere(long steadyMillis, long nowNanos) {
    store.answeredElsewhere(steadyMillis, nowNanos);
  }

  /** Returns for how long the store has answered without interruption, in milliseconds. */
  public long storeSteadyMillis(long nowNanos) {
    return store.steadyMillis(nowNanos);
  }

  /** Returns whether the store does not answer. */
  public boolean storeUnavailable() {
    return store.unavailable();
  }

  /** Avoids an endpoint that failed or does not respond. */
  public void avoidAfterFailure(TrackedEndpoint endpoint, long nowNanos) {
    endpoint.suspect(nowNanos, FAILURE_AVOIDANCE_NANOS, MAX_AVOIDANCE_DOUBLINGS);
    endpoint.markUnresponsive();
  }

  /** Avoids an endpoint that refused a request without running it. */
  public void avoidAfterRefusal(TrackedEndpoint endpoint, long nowNanos) {
    endpoint.suspect(nowNanos, REFUSAL_AVOIDANCE_NANOS, MAX_AVOIDANCE_DOUBLINGS);
  }
}
