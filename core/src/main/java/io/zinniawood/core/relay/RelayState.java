package io.zinniawood.core.relay;

import io.zinniawood.core.entry.lease.LeaseView;
import io.zinniawood.core.fleet.FleetView;
import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.limit.MemberShares;
import io.zinniawood.core.load.FleetLoad;
import io.zinniawood.core.load.OwnLoad;
import io.zinniawood.core.overflow.OverflowDecision;
import io.zinniawood.core.processor.ProcessorGuard;
import io.zinniawood.core.quarantine.CrashQuarantine;
import io.zinniawood.core.route.EngineProfile;
import io.zinniawood.core.route.RouteTable;
import io.zinniawood.core.route.RoutedService;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** Mutable state of a relay. Only the reducer changes it. */
public final class RelayState {
  final RelayParameters parameters;
  final FleetView fleet = new FleetView();
  final Map<RelayRequestId, OpenRequest> open = new LinkedHashMap<>();
  final List<OpenRequest> waiting = new ArrayList<>();
  final WaitingRules waitingRules = new WaitingRules();
  final RetryBudget retryBudget = new RetryBudget();
  final LinkBacklogs linkBacklogs = new LinkBacklogs();
  final FleetLoad fleetLoad = new FleetLoad();
  final OverflowShares overflow = new OverflowShares();
  final OwnLoad ownLoad;
  boolean loadNoticeLogged;
  long loadNoticeLoggedNanos;
  final DurationEstimates durations = new DurationEstimates();
  final SplittableRandom random;
  Optional<RouteTable> routes = Optional.empty();
  final FirstConfiguration firstConfiguration = new FirstConfiguration();

  /** Newest version of the routing table that another relay told of. */
  long toldRoutesVersion;

  final Peers peers;

  /** How the limits of endpoints are divided among the relays. */
  MemberShares limitShares;

  boolean limitSharesGivenBack;
  long limitNoticeSequence;
  final CrashQuarantine quarantine = new CrashQuarantine();
  final Map<EndpointId, PendingCrash> pendingCrashes = new HashMap<>();
  final StoreClock storeClock = new StoreClock();
  final StoreReadTimes endpointReads = new StoreReadTimes();
  final StoreReadTimes routeReads = new StoreReadTimes();
  LeaseView lease = LeaseView.unknown();

  /** Highest fencing number that was given out, read or heard of. */
  long highestFencingNumber;

  boolean endpointFellSilent;
  long lastSilentEndpointNanos;

  /** Time of the last tick; 0 before the first tick. */
  long lastTickNanos;

  /** Time until which this process catches up after a pause. */
  long catchUpEndNanos;

  StoreEra storeEra = StoreEra.UNNAMED;
  boolean storeEraKnown;
  boolean storeEraChanged;
  long storeEraSeenNanos;

  /** Time since which all answers of the store are of a lower era; empty if they are not. */
  Optional<Long> lowerEraSinceNanos = Optional.empty();

  /** Version up to which the endpoint list is known; empty if it must be read whole. */
  Optional<StoreVersion> endpointsVersion = Optional.empty();

  /** Version up to which the routes are known; empty if they must be read whole. */
  Optional<StoreVersion> routesStoreVersion = Optional.empty();

  /** Version after which the last read of the routes asked for a change; empty if for all. */
  Optional<StoreVersion> routesAskedAfter = Optional.empty();

  final BoundedLog ignoredLog = new BoundedLog();
  final BoundedLog schedulingLog = new BoundedLog();
  final ProcessorGuard processorGuard = new ProcessorGuard();
  long paceLimitedRequests;
  long processorShortRequests;

  int failedEndpointReads;
  int loggedLiveRelays = 1;
  long nextPeerMessageNanos;
  long nextUnknownSenderReadNanos;
  long nextLeaseTickNanos;
  long nextPlacementTickNanos;
  long nextPresenceNanos;
  long presenceHeartbeats;
  long leaseTicks;
  long nextLeaseReadNanos;
  boolean leaseNoticeReceived;
  long leaseNoticeNanos;
  boolean anyRequestReceived;
  boolean ready;
  boolean terminating;
  long terminationNanos;
  boolean stopped;

  /** Creates the initial state of a relay. */
  public RelayState(RelayParameters parameters) {
    this.parameters = parameters;
    this.peers = new Peers(parameters.peerAddress());
    this.limitShares = new MemberShares(parameters.vm(), Set.of(), false);
    this.ownLoad = new OwnLoad(parameters.seed());
    this.random = new SplittableRandom(parameters.seed());
  }

  /** Returns the number of requests in progress. */
  public int openRequests() {
    return open.size();
  }

  /** Returns whether a request is in progress. */
  public boolean isOpen(RelayRequestId id) {
    return open.containsKey(id);
  }

  /** Returns the number of requests that wait for an endpoint. */
  public int waitingRequests() {
    return waiting.size();
  }

  /** Returns the number of requests that were refused by the forecast of their wait. */
  public long forecastRefusals() {
    return waitingRules.refusals();
  }

  /** Returns the number of requests that were refused late although a forecast was known. */
  public long lateRefusals() {
    return waitingRules.lateRefusals();
  }

  /** Returns the number of refused callers that are expected to return. */
  public int expectedReturns() {
    return waitingRules.expectedReturns();
  }

  /** Returns the number of parts of prompts that are held back as they crash endpoints. */
  public int heldPromptParts() {
    return quarantine.heldParts();
  }

  /** Returns the number of requests that are held back as they crash endpoints. */
  public int heldRequests() {
    return quarantine.heldRequests();
  }

  /** Returns the engines of a service; empty if it is a plain one or unknown. */
  Optional<EngineProfile> engine(ServiceName service) {
    return routes.flatMap(table -> table.service(service)).flatMap(RoutedService::engine);
  }

  /** Returns whether a decision on scarce capacity is in force for a service. */
  boolean scheduling(SchedulingPart part, ServiceName service) {
    return scheduling(part, table -> table.capacityScarce(service));
  }

  /** Returns whether a decision on scarce capacity is in force for any service. */
  boolean scheduling(SchedulingPart part) {
    return scheduling(part, RouteTable::capacityScarce);
  }

  private boolean scheduling(SchedulingPart part, Predicate<RouteTable> scarce) {
    return switch (parameters.scheduling().mode(part)) {
      case ON -> true;
      case OFF -> false;
      case AUTO -> routes.filter(scarce).isPresent();
    };
  }

  /** Returns the shares of requests that may leave the own data centre, by service. */
  public Map<ServiceName, OverflowDecision> overflowShares() {
    return overflow.decisions();
  }

  /** Returns the bytes sent between data centres for new requests, as estimated. */
  public double overflowBytes() {
    return overflow.totalBytes();
  }

  /** Returns the number of requests that the pace limit has kept waiting. */
  public long paceLimitedRequests() {
    return paceLimitedRequests;
  }

  /** Returns the number of requests refused as processor time was short. */
  public long processorShortRequests() {
    return processorShortRequests;
  }

  /** Returns the smoothed lateness of ticks in milliseconds; 0 if it is not measured. */
  public double tickLatenessMillis() {
    return processorGuard.latenessMillis();
  }

  /** Returns the number of endpoints that name a limit. */
  public int endpointLimits() {
    return fleet.limits().named();
  }

  /** Returns the rate of this relay under all limits of endpoints, in requests a second. */
  public double limitedRequestsPerSecond() {
    return fleet.limits().ownRatePerSecond();
  }

  /** Returns the number of other relays whose load is known from their notices. */
  public int relaysWithLoadFigures() {
    return fleetLoad.relaysWithFigures();
  }

  /** Returns the number of load notices that were sent, each of them to all receivers. */
  public long loadNoticesSent() {
    return ownLoad.noticesSent();
  }

  /** Returns the bytes of the load notices that were sent, to all receivers together. */
  public long loadNoticeBytesSent() {
    return ownLoad.sentBytes();
  }

  /** Returns the version of the routing table; 0 if none was read. */
  public long routesVersion() {
    return routes.map(RouteTable::version).orElse(0L);
  }

  /** Returns the era of the store as of its last answer. */
  public long storeEra() {
    return storeEra.value();
  }

  /** Returns the process start of an endpoint that the list shows; unknown if it is not listed. */
  public EndpointIncarnation incarnation(EndpointId endpoint) {
    return fleet
        .find(endpoint)
        .map(TrackedEndpoint::incarnation)
        .orElseGet(() -> new EndpointIncarnation(endpoint, 0));
  }

  /** Returns the number of endpoints in the list. */
  public int endpoints() {
    return fleet.all().size();
  }

  /** Returns whether this relay holds the controller lease as of its last read or write. */
  public boolean holdsLease() {
    return lease.heldRow().isDefined();
  }

  /** Returns whether termination of the process was requested. */
  public boolean terminating() {
    return terminating;
  }

  /** Returns whether the platform's store responds. */
  public boolean storeAvailable() {
    return !fleet.storeUnavailable();
  }
}
