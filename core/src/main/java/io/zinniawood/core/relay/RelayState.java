package io.zinniawood.core.relay;

import io.zinniawood.core.entry.lease.LeaseView;
import io.zinniawood.core.fleet.FleetView;
import io.zinniawood.core.route.RouteTable;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/** State of a relay. Changed in place by the reducer only. */
public final class RelayState {
  final RelaySelf self;
  final FleetView fleet = new FleetView();
  final Map<RelayId, OpenRequest> open = new LinkedHashMap<>();
  final List<OpenRequest> waiting = new ArrayList<>();
  final RetryBudget retryBudget = new RetryBudget();
  final PipeLoads pipes = new PipeLoads();
  final SplittableRandom random;
  Optional<RouteTable> routes = Optional.empty();
  final RelayCensus relays = new RelayCensus();
  LeaseView lease = LeaseView.unknown();

  /** Time of the last tick; 0 before the first one. */
  long tickNanos;

  /** Until then this process catches up after a pause. */
  long caughtUpNanos;

  long leaseTickNanos;
  long placementTickNanos;
  long presenceTickNanos;
  long presences;
  long holderTicks;
  boolean requestSeen;
  boolean ready;
  boolean terminating;
  long terminationNanos;
  boolean stopped;

  /** Creates the state of a relay that has just started. */
  public RelayState(RelaySelf self) {
    this.self = self;
    this.random = new SplittableRandom(self.seed());
  }

  /** Returns the number of requests in progress. */
  public int openRequests() {
    return open.size();
  }

  /** Returns the number of requests that wait for an endpoint. */
  public int waitingRequests() {
    return waiting.size();
  }

  /** Returns the version of the routing table; 0 if none is known. */
  public long routesVersion() {
    return routes.map(RouteTable::version).orElse(0L);
  }

  /** Returns the number of endpoints in the list. */
  public int endpoints() {
    return fleet.all().size();
  }

  /** Tells whether this relay holds the controller lease as far as it knows. */
  public boolean holdsLease() {
    return lease.heldRow().isDefined();
  }

  /** Tells whether the process was asked to terminate. */
  public boolean terminating() {
    return terminating;
  }

  /** Tells whether the store answers. */
  public boolean storeAvailable() {
    return !fleet.storeAway();
  }
}
