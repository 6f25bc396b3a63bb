package io.zinniawood.core.fleet;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.id.Hashing;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.limit.EndpointLimit;
import io.zinniawood.core.limit.EndpointLimits;
import io.zinniawood.core.model.LayerRange;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * State that a process keeps for one endpoint: its entry in the platform's endpoint list and
 * observations from requests and checks. Not thread-safe; confined to the reducer that owns it.
 */
public final class TrackedEndpoint {
  /** Weight of a new sample in the exponential moving averages. */
  private static final double NEW_SAMPLE_WEIGHT = 0.15;

  /** Upper bound of the slowdown factor; a slow endpoint still gets requests that measure it. */
  private static final double MAX_SLOWDOWN_FACTOR = 12;

  private final LeavingEndpoints leavingEndpoints;
  private final EndpointLimits limits;
  private final EndpointPause pause;
  private final int loadHash;
  private FleetEndpoint entry;

  private int inFlight;
  private long tokensInFlight;
  private long promptTokensInFlight;
  private long lastProgressNanos;
  private double slowdownFactor = 1;
  private double failureRate;
  private double latencyMillis;
  private boolean suspected;
  private long suspectedAtNanos;
  private long suspectedUntilNanos;
  private Optional<StoreVersion> refutedRowVersion = Optional.empty();
  private boolean withdrawn;
  private boolean unresponsive;
  private boolean checkPending;
  private long checkStartedNanos;
  private int consecutiveFailures;
  private OptionalLong checkInNanos = OptionalLong.empty();
  private long removalNanos;
  private boolean removalScheduled;
  private Optional<LayerRange> orderLayers = Optional.empty();
  private long orderPendingUntilNanos;
  private long ordersAccepted;
  private boolean orderCountUncertain;

  /**
   * Creates the state of a newly listed endpoint.
   *
   * @param withdrawn whether the entry may be older than the departure of the endpoint
   * @param leavingEndpoints endpoints that said themselves that they are leaving
   * @param limits limits that endpoints name
   * @param pause time for which the endpoint wants no requests
   */
  TrackedEndpoint(
      FleetEndpoint entry,
      boolean withdrawn,
      LeavingEndpoints leavingEndpoints,
      EndpointLimits limits,
      EndpointPause pause) {
    this.entry = entry;
    this.loadHash = (int) Hashing.of(entry.id().value());
    this.withdrawn = withdrawn;
    this.leavingEndpoints = leavingEndpoints;
    this.limits = limits;
    this.pause = pause;
  }

  public EndpointId id() {
    return entry.id();
  }

  /** Returns the hash of the id by which relays name the endpoint in their load notices. */
  public int loadHash() {
    return loadHash;
  }

  /** Returns the process start that the endpoint list shows. */
  public EndpointIncarnation incarnation() {
    return entry.incarnation();
  }

  /** Returns the latest entry of the endpoint list. */
  public FleetEndpoint entry() {
    return entry;
  }

  /**
   * Returns whether an entry is in a version of the row that is not older than the present one. In
   * another era of the store, only a copy of an earlier start counts as older.
   *
   * @param perhapsCopy whether the entry may come from a copy of the store, so that it may be older
   */
  boolean supersededBy(FleetEndpoint other, boolean perhapsCopy) {
    return other.rowVersion().sameEra(entry.rowVersion())
        ? !entry.rowVersion().isAfter(other.rowVersion())
        : !perhapsCopy || other.startedMillis() >= entry.startedMillis();
  }

  /**
   * Replaces the entry and resets the observations if the endpoint has restarted. An entry that may
   * come from a copy of the store does not undo what was known of the endpoint before.
   *
   * @param heartbeatLagNanos time after a failure from which on a newer entry ends the avoidance
   */
  void update(FleetEndpoint newer, long nowNanos, long heartbeatLagNanos, boolean perhapsCopy) {
    boolean sameEra = newer.rowVersion().sameEra(entry.rowVersion());
    boolean copyOfWithdrawn = perhapsCopy && !sameEra && (entry.draining() || refuted());
    withdrawn =
        newer.sameIncarnation(entry)
            && (copyOfWithdrawn || (withdrawn && (perhapsCopy || !isLaterCheckIn(newer))));
    if (!newer.sameIncarnation(entry)) {
      slowdownFactor = 1;
      failureRate = 0;
      latencyMillis = 0;
      suspected = false;
      orderLayers = Optional.empty();
      ordersAccepted = 0;
      orderCountUncertain = false;
    } else if (suspected
        && (sameEra ? newer.rowVersion().isAfter(entry.rowVersion()) : !perhapsCopy)
        && nowNanos - suspectedAtNanos > heartbeatLagNanos) {
      suspected = false;
    }
    if (newer.layers().isPresent()) {
      orderLayers = Optional.empty();
    }
    // Leaving is final for a start; a row of another era may come from before it.
    boolean staysDraining = sameEra && entry.draining() && newer.sameIncarnation(entry);
    entry = staysDraining ? newer.asDraining() : newer;
    checkInNanos = OptionalLong.of(nowNanos);
    removalScheduled = false;
  }

  /** Returns whether an entry is another check-in, rather than the present one read again. */
  private boolean isLaterCheckIn(FleetEndpoint newer) {
    return !newer.rowVersion().sameEra(entry.rowVersion())
        || (newer.rowVersion().isAfter(entry.rowVersion())
            && (newer.sequence() == 0 || newer.sequence() > entry.sequence()));
  }

  /** Returns whether new requests may be sent to the endpoint. */
  public boolean usable(long nowNanos) {
    return usableAfterPause(nowNanos, nowNanos);
  }

  /** Returns whether the endpoint is usable now but for a pause that ends until a later time. */
  public boolean usableAfterPause(long nowNanos, long atNanos) {
    return !pause.activeAt(entry.startedMillis(), atNanos)
        && !entry.draining()
        && !leaving()
        && !suspectedAt(nowNanos)
        && !withdrawn
        && !refuted();
  }

  private boolean refuted() {
    return refutedRowVersion
        .filter(refuted -> refuted.sameEra(entry.rowVersion()))
        .filter(refuted -> !entry.rowVersion().isAfter(refuted))
        .isPresent();
  }

  /** Returns whether the endpoint list says, or said before it was restored, that it leaves. */
  boolean announcedLeaving() {
    return entry.draining() || withdrawn;
  }

  EndpointPause pause() {
    return pause;
  }

  /** Returns whether the endpoint wants no requests from this process at present. */
  public boolean pausedAt(long nowNanos) {
    return pause.activeAt(entry.startedMillis(), nowNanos);
  }

  /** Returns the monotonic time in nanoseconds at which the last pause ends or ended. */
  public long pauseEndNanos() {
    return pause.untilNanos();
  }

  /** Returns whether no further request may be sent yet, as requests return after a pause. */
  public boolean returnLimitReached(long nowNanos) {
    return pause.fullAt(entry.startedMillis(), entry.slots(), nowNanos);
  }

  /** Returns the limit that the endpoint names, with the permits of this process. */
  public Optional<EndpointLimit> limit(long nowNanos) {
    return limits.find(incarnation(), nowNanos);
  }

  /** Returns whether the limit of the endpoint allows no request of this process now. */
  public boolean limitReached(long nowNanos) {
    return limit(nowNanos).filter(limit -> !limit.permitted()).isPresent();
  }

  /** Returns the time at which the limit of the endpoint allows a request of this process. */
  public long permittedNanos(long nowNanos) {
    return limit(nowNanos).map(limit -> limit.permittedNanos(nowNanos)).orElse(nowNanos);
  }

  /** Records that this process had a use for a request that the limit did not allow. */
  public void wantPermit(long nowNanos) {
    limit(nowNanos).ifPresent(limit -> limit.want(nowNanos));
  }

  /** Counts any request to the endpoint itself against its limit. */
  public void countRequest(long nowNanos) {
    limit(nowNanos).ifPresent(limit -> limit.requestSent(nowNanos));
  }

  /** Counts a request that is sent, if requests return gradually after a pause. */
  public Optional<EndpointPause.Trial> requestSent(long nowNanos) {
    return pause.requestSent(entry.startedMillis(), entry.slots(), nowNanos);
  }

  /** Returns whether neither the endpoint list nor the endpoint itself says that it is leaving. */
  public boolean staysInFleet() {
    return !announcedLeaving() && !leaving() && !removalScheduled;
  }

  /** Returns whether the endpoint is avoided after a failure or a refusal. */
  public boolean suspectedAt(long nowNanos) {
    return suspected && nowNanos - suspectedUntilNanos < 0;
  }

  /**
   * Avoids the endpoint for a time that doubles with each consecutive failure.
   *
   * @param baseNanos time of avoidance after the first failure, in nanoseconds
   * @param maxDoublings maximum number of doublings
   */
  void suspect(long nowNanos, long baseNanos, int maxDoublings) {
    suspected = true;
    unresponsive = false;
    suspectedAtNanos = nowNanos;
    suspectedUntilNanos = nowNanos + (baseNanos << Math.min(consecutiveFailures, maxDoublings));
    consecutiveFailures++;
  }

  /**
   * Records that the endpoint is another one than its entry says, or holds other layers, as after a
   * restart. It is not used until it writes its entry again.
   */
  public void entryRefuted() {
    refutedRowVersion = Optional.of(entry.rowVersion());
  }

  /** Marks the endpoint as avoided for lack of response; an answered check ends the avoidance. */
  void markUnresponsive() {
    unresponsive = true;
  }

  /** Returns whether the endpoint is avoided because it does not respond. */
  public boolean unresponsiveAt(long nowNanos) {
    return unresponsive && suspectedAt(nowNanos);
  }

  /** Returns whether no check is pending and the last one began at least an interval ago. */
  public boolean checkDue(long nowNanos, long intervalNanos) {
    return !checkPending
        && (checkStartedNanos == 0 || nowNanos - checkStartedNanos >= intervalNanos);
  }

  /** Returns whether the endpoint was asked for its report and has not answered yet. */
  public boolean checkPending() {
    return checkPending;
  }

  /** Returns the monotonic time in nanoseconds at which the last check began. */
  public long checkStartedNanos() {
    return checkStartedNanos;
  }

  /** Records that the endpoint was asked for its report. */
  public void checkStarted(long nowNanos) {
    checkPending = true;
    checkStartedNanos = nowNanos;
  }

  /**
   * Records an answered check and ends an avoidance for lack of response.
   *
   * @param reportedSlowdownFactor factor by which the endpoint reports to run slower than usual
   */
  public void checkAnswered(double reportedSlowdownFactor) {
    checkPending = false;
    if (unresponsive) {
      unresponsive = false;
      suspected = false;
    }
    slowdownFactor =
        Math.max(
            1, Math.min(MAX_SLOWDOWN_FACTOR, Math.max(slowdownFactor, reportedSlowdownFactor)));
  }

  /** Records that a check got no answer. */
  public void checkUnanswered() {
    checkPending = false;
  }

  /** Returns whether the endpoint itself said that it is leaving. */
  private boolean leaving() {
    return leavingEndpoints.contains(incarnation());
  }

  /** Returns the monotonic time at which a check-in was read after the first one, if any was. */
  OptionalLong checkInNanos() {
    return checkInNanos;
  }

  void scheduleRemoval(long atNanos) {
    if (!removalScheduled) {
      removalScheduled = true;
      removalNanos = atNanos;
    }
  }

  /**
   * Returns whether the endpoint is to be removed.
   *
   * @param graceNanos time for which removed entries may still reappear, as known by now
   */
  boolean removalDue(long nowNanos, long graceNanos) {
    return removalScheduled && (graceNanos == 0 || nowNanos - removalNanos >= 0);
  }

  /** Returns the number of this process's requests whose path includes the endpoint. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the tokens of this process's requests whose path includes the endpoint. */
  public long tokensInFlight() {
    return tokensInFlight;
  }

  /** Adds a request that starts to use the endpoint. */
  public void requestStarted(long tokens) {
    inFlight++;
    tokensInFlight += tokens;
  }

  /** Removes a request that no longer uses the endpoint. */
  public void requestEnded(long tokens) {
    inFlight--;
    tokensInFlight -= tokens;
  }

  /** Returns the prompt tokens of this process's requests here that have no event yet. */
  public long promptTokensInFlight() {
    return promptTokensInFlight;
  }

  /** Adds prompt tokens that the endpoint is to read, or removes them if negative. */
  public void addPromptTokens(long tokens) {
    promptTokensInFlight += tokens;
  }

  /** Returns the monotonic time in nanoseconds at which a request last progressed here. */
  public long lastProgressNanos() {
    return lastProgressNanos;
  }

  /**
   * Records that a request progressed through the endpoint.
   *
   * @param nowNanos current monotonic time in nanoseconds
   * @param ratio measured time divided by the expected time
   */
  public void recordProgress(long nowNanos, double ratio) {
    lastProgressNanos = nowNanos;
    consecutiveFailures = 0;
    slowdownFactor +=
        NEW_SAMPLE_WEIGHT * (Math.max(1, Math.min(MAX_SLOWDOWN_FACTOR, ratio)) - slowdownFactor);
  }

  /** Returns the average ratio of measured to expected time, raised by reports; at least 1. */
  public double slowdownFactor() {
    return slowdownFactor;
  }

  /**
   * Records an answer of a plain service.
   *
   * @param latencySampleMillis time of the answer in milliseconds
   */
  public void recordAnswer(boolean failed, double latencySampleMillis) {
    failureRate += NEW_SAMPLE_WEIGHT * ((failed ? 1 : 0) - failureRate);
    latencyMillis +=
        (latencyMillis == 0 ? 1 : NEW_SAMPLE_WEIGHT) * (latencySampleMillis - latencyMillis);
    if (!failed) {
      consecutiveFailures = 0;
    }
  }

  /** Returns the moving average of failed answers, 0 to 1. */
  public double failureRate() {
    return failureRate;
  }

  /** Returns the moving average of answer times in milliseconds; 0 without answers. */
  public double latencyMillis() {
    return latencyMillis;
  }

  /** Returns the layers that the endpoint holds or, while an order is pending, is to load. */
  public Optional<LayerRange> plannedLayers(long nowNanos) {
    if (entry.layers().isPresent()) {
      return entry.layers();
    }
    return nowNanos - orderPendingUntilNanos < 0 ? orderLayers : Optional.empty();
  }

  /** Returns whether an order was sent whose layers are not listed yet and that is not overdue. */
  public boolean orderPending(long nowNanos) {
    return orderLayers.isPresent() && nowNanos - orderPendingUntilNanos < 0;
  }

  /**
   * Records an order to load layers.
   *
   * @param untilNanos monotonic time until which the order counts as pending, in nanoseconds
   */
  public void orderLayers(LayerRange layers, long untilNanos) {
    orderLayers = Optional.of(layers);
    orderPendingUntilNanos = untilNanos;
  }

  /** Returns the known number of orders that the endpoint has accepted since its start. */
  public long ordersAccepted() {
    return ordersAccepted;
  }

  /** Returns whether the number of accepted orders must be read from the endpoint. */
  public boolean orderCountUncertain() {
    return orderCountUncertain;
  }

  /** Records that the endpoint accepted an order. */
  public void orderAccepted() {
    ordersAccepted++;
  }

  /** Records an order that was not accepted; the known number of accepted orders may be wrong. */
  public void orderRefused() {
    orderCountUncertain = true;
    orderLayers = Optional.empty();
  }

  /** Records an order without an answer; the endpoint may still carry it out. */
  public void orderUnanswered() {
    orderCountUncertain = true;
  }

  /** Sets the number of accepted orders to the one that the endpoint reports. */
  public void ordersReported(long accepted) {
    ordersAccepted = accepted;
    orderCountUncertain = false;
  }
}
