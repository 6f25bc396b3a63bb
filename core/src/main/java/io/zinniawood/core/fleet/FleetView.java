package io.zinniawood.core.fleet;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.ServiceName;
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
 * Endpoints that a process knows. The list is the platform's; failures and silence only add a time
 * of avoidance, which ends when the endpoint shows again that it lives. Confined to the reducer.
 */
public final class FleetView {
  /**
   * Time after the store's return in which an entry that lapsed during the outage may come back.
   * The platform's page gives about two seconds.
   */
  private static final long REAPPEARANCE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

  /** First time of avoidance; longer than the three heartbeats after which the list drops it. */
  private static final long FAILURE_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

  /** A heartbeat later than this after a failure was surely sent after the failure. */
  private static final long MAX_HEARTBEAT_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

  /** Time of avoidance after a refusal: full, short of memory, or not holding the layers. */
  private static final long REFUSAL_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private static final int MAX_AVOIDANCE_DOUBLINGS = 2;

  private final Map<EndpointId, TrackedEndpoint> endpointsById = new HashMap<>();
  private boolean listLoaded;
  private boolean storeUnavailable;
  private long storeRegainedNanos;
  private boolean storeEverRegained;
  private long lastEndpointAddedNanos;

  /** Tells whether the list was read at least once. */
  public boolean listLoaded() {
    return listLoaded;
  }

  /** Returns the time at which an endpoint was last seen for the first time, in nanoseconds. */
  public long lastEndpointAddedNanos() {
    return lastEndpointAddedNanos;
  }

  /** Returns all endpoints. */
  public Collection<TrackedEndpoint> all() {
    return endpointsById.values();
  }

  /** Returns an endpoint; none if it is gone. */
  public Optional<TrackedEndpoint> find(EndpointId id) {
    return Optional.ofNullable(endpointsById.get(id));
  }

  /** Returns the endpoint at an address; none if no known one is there. */
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

  /** Replaces the list. */
  public void replaceAll(List<FleetEndpoint> endpoints, long nowNanos) {
    listLoaded = true;
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
    applyChanges(endpoints, missing, nowNanos);
  }

  /** Applies changes of the list. */
  public void applyChanges(List<FleetEndpoint> changed, List<EndpointId> removed, long nowNanos) {
    for (FleetEndpoint endpoint : changed) {
      TrackedEndpoint known = endpointsById.get(endpoint.id());
      if (known == null) {
        endpointsById.put(endpoint.id(), new TrackedEndpoint(endpoint));
        lastEndpointAddedNanos = nowNanos;
      } else if (endpoint.rowVersion() >= known.entry().rowVersion()) {
        known.update(endpoint, nowNanos, MAX_HEARTBEAT_LAG_NANOS);
      }
    }
    boolean justRegained =
        storeEverRegained && nowNanos - storeRegainedNanos < REAPPEARANCE_GRACE_NANOS;
    for (EndpointId id : removed) {
      TrackedEndpoint known = endpointsById.get(id);
      if (known != null) {
        known.scheduleRemoval(
            justRegained && !known.entry().draining()
                ? storeRegainedNanos + REAPPEARANCE_GRACE_NANOS
                : nowNanos);
      }
    }
    removeExpired(nowNanos);
  }

  /** Forgets endpoints whose return is no longer expected. */
  public void removeExpired(long nowNanos) {
    endpointsById.values().removeIf(known -> known.removalDue(nowNanos));
  }

  /** Notes that the store stopped answering. */
  public void storeLost() {
    storeUnavailable = true;
  }

  /** Notes that the store answers again. */
  public void storeRegained(long nowNanos) {
    if (storeUnavailable) {
      storeUnavailable = false;
      storeEverRegained = true;
      storeRegainedNanos = nowNanos;
    }
  }

  /** Tells whether the store is away. */
  public boolean storeUnavailable() {
    return storeUnavailable;
  }

  /** Avoids an endpoint that failed or fell silent. */
  public void avoidAfterFailure(TrackedEndpoint endpoint, long nowNanos) {
    endpoint.suspect(nowNanos, FAILURE_AVOIDANCE_NANOS, MAX_AVOIDANCE_DOUBLINGS);
    endpoint.markUnresponsive();
  }

  /** Avoids an endpoint that refused a request without running it. */
  public void avoidAfterRefusal(TrackedEndpoint endpoint, long nowNanos) {
    endpoint.suspect(nowNanos, REFUSAL_AVOIDANCE_NANOS, MAX_AVOIDANCE_DOUBLINGS);
  }
}
