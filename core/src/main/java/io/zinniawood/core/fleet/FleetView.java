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
  private static final long RETURN_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

  /** First time of avoidance; longer than the three heartbeats after which the list drops it. */
  private static final long SUSPECT_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

  /** A heartbeat later than this after a failure was surely sent after the failure. */
  private static final long BEAT_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

  /** Time of avoidance after a refusal: full, short of memory, or not holding the layers. */
  private static final long REFUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private static final int MAX_DOUBLINGS = 2;

  private final Map<EndpointId, EndpointRecord> records = new HashMap<>();
  private boolean listed;
  private boolean storeAway;
  private long regainedNanos;
  private boolean everRegained;
  private long newestNanos;

  /** Tells whether the list was read at least once. */
  public boolean listed() {
    return listed;
  }

  /** Returns the time at which an endpoint was last seen for the first time, in nanoseconds. */
  public long newestNanos() {
    return newestNanos;
  }

  /** Returns all endpoints. */
  public Collection<EndpointRecord> all() {
    return records.values();
  }

  /** Returns an endpoint; none if it is gone. */
  public Optional<EndpointRecord> find(EndpointId id) {
    return Optional.ofNullable(records.get(id));
  }

  /** Returns the endpoint at an address; none if no known one is there. */
  public Optional<EndpointRecord> at(NodeAddress address) {
    for (EndpointRecord candidate : records.values()) {
      if (candidate.entry().address().equals(address)) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  /** Returns the endpoints of a service. */
  public List<EndpointRecord> of(ServiceName service) {
    List<EndpointRecord> found = new ArrayList<>();
    for (EndpointRecord candidate : records.values()) {
      if (candidate.entry().service().equals(service)) {
        found.add(candidate);
      }
    }
    return found;
  }

  /** Replaces the list. */
  public void list(List<FleetEndpoint> endpoints, long nowNanos) {
    listed = true;
    Set<EndpointId> present = new HashSet<>();
    for (FleetEndpoint endpoint : endpoints) {
      present.add(endpoint.id());
    }
    List<EndpointId> missing = new ArrayList<>();
    for (EndpointId id : records.keySet()) {
      if (!present.contains(id)) {
        missing.add(id);
      }
    }
    change(endpoints, missing, nowNanos);
  }

  /** Applies changes of the list. */
  public void change(List<FleetEndpoint> changed, List<EndpointId> removed, long nowNanos) {
    for (FleetEndpoint endpoint : changed) {
      EndpointRecord known = records.get(endpoint.id());
      if (known == null) {
        records.put(endpoint.id(), new EndpointRecord(endpoint));
        newestNanos = nowNanos;
      } else if (endpoint.rowVersion() >= known.entry().rowVersion()) {
        known.update(endpoint, nowNanos, BEAT_GRACE_NANOS);
      }
    }
    boolean justRegained = everRegained && nowNanos - regainedNanos < RETURN_GRACE_NANOS;
    for (EndpointId id : removed) {
      EndpointRecord known = records.get(id);
      if (known != null) {
        known.planRemoval(
            justRegained && !known.entry().draining()
                ? regainedNanos + RETURN_GRACE_NANOS
                : nowNanos);
      }
    }
    removeDue(nowNanos);
  }

  /** Forgets endpoints whose return is no longer expected. */
  public void removeDue(long nowNanos) {
    records.values().removeIf(known -> known.removalDue(nowNanos));
  }

  /** Notes that the store stopped answering. */
  public void storeLost() {
    storeAway = true;
  }

  /** Notes that the store answers again. */
  public void storeRegained(long nowNanos) {
    if (storeAway) {
      storeAway = false;
      everRegained = true;
      regainedNanos = nowNanos;
    }
  }

  /** Tells whether the store is away. */
  public boolean storeAway() {
    return storeAway;
  }

  /** Avoids an endpoint that failed or fell silent. */
  public void suspect(EndpointRecord endpoint, long nowNanos) {
    endpoint.suspect(nowNanos, SUSPECT_NANOS, MAX_DOUBLINGS);
    endpoint.markSilent();
  }

  /** Avoids an endpoint that refused a request without running it. */
  public void refused(EndpointRecord endpoint, long nowNanos) {
    endpoint.suspect(nowNanos, REFUSED_NANOS, MAX_DOUBLINGS);
  }
}
