package io.zinniawood.core.fleet;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import java.util.Optional;

/**
 * What a process knows of one endpoint: its entry in the list and what requests showed. Confined to
 * the reducer that owns it.
 */
public final class TrackedEndpoint {
  /** Weight of the newest observation in the averages. */
  private static final double NEW_SAMPLE_WEIGHT = 0.15;

  /** Largest slowness; keeps a slow endpoint in reach of a test request. */
  private static final double MAX_SLOWDOWN_FACTOR = 12;

  private FleetEndpoint entry;
  private int inFlight;
  private long tokensInFlight;
  private long lastProgressNanos;
  private double slowdownFactor = 1;
  private double failureRate;
  private double latencyMillis;
  private boolean suspected;
  private long suspectedAtNanos;
  private long suspectedUntilNanos;
  private boolean unresponsive;
  private boolean checkPending;
  private long checkStartedNanos;
  private int consecutiveFailures;
  private boolean leaving;
  private long removalNanos;
  private boolean removalScheduled;
  private Optional<LayerRange> orderLayers = Optional.empty();
  private long orderPendingUntilNanos;
  private long ordersAccepted;
  private boolean orderCountUncertain;

  TrackedEndpoint(FleetEndpoint entry) {
    this.entry = entry;
  }

  /** Returns the id. */
  public EndpointId id() {
    return entry.id();
  }

  /** Returns the newest entry of the list. */
  public FleetEndpoint entry() {
    return entry;
  }

  /** Takes a newer entry; a restart of the endpoint clears what was known of the one before. */
  void update(FleetEndpoint newer, long nowNanos, long beatGraceNanos) {
    if (!newer.sameIncarnation(entry)) {
      slowdownFactor = 1;
      failureRate = 0;
      latencyMillis = 0;
      leaving = false;
      suspected = false;
      orderLayers = Optional.empty();
      ordersAccepted = 0;
      orderCountUncertain = false;
    } else if (suspected
        && newer.rowVersion() > entry.rowVersion()
        && nowNanos - suspectedAtNanos > beatGraceNanos) {
      suspected = false;
    }
    if (newer.layers().isPresent()) {
      orderLayers = Optional.empty();
    }
    entry = newer;
    removalScheduled = false;
  }

  /** Tells whether new requests may go to the endpoint. */
  public boolean usable(long nowNanos) {
    return !entry.draining() && !leaving && !suspectedAt(nowNanos);
  }

  /** Tells whether the endpoint stays in the fleet as far as the list and its answers show. */
  public boolean staysInFleet() {
    return !entry.draining() && !leaving && !removalScheduled;
  }

  /** Tells whether the endpoint is avoided after a failure. */
  public boolean suspectedAt(long nowNanos) {
    return suspected && nowNanos - suspectedUntilNanos < 0;
  }

  /** Avoids the endpoint for a time that doubles with each failure in a row. */
  void suspect(long nowNanos, long baseNanos, int maxDoublings) {
    suspected = true;
    unresponsive = false;
    suspectedAtNanos = nowNanos;
    suspectedUntilNanos = nowNanos + (baseNanos << Math.min(consecutiveFailures, maxDoublings));
    consecutiveFailures++;
  }

  /** Notes that the suspicion is for a lack of answers, which an answer ends. */
  void markUnresponsive() {
    unresponsive = true;
  }

  /** Tells whether the endpoint is avoided because it does not answer. */
  public boolean unresponsiveAt(long nowNanos) {
    return unresponsive && suspectedAt(nowNanos);
  }

  /** Tells whether no check is open and the last one began long enough ago. */
  public boolean checkDue(long nowNanos, long intervalNanos) {
    return !checkPending
        && (checkStartedNanos == 0 || nowNanos - checkStartedNanos >= intervalNanos);
  }

  /** Notes that the endpoint was asked for its report. */
  public void checkStarted(long nowNanos) {
    checkPending = true;
    checkStartedNanos = nowNanos;
  }

  /**
   * Notes that the endpoint answered a check: it is no longer avoided for its silence.
   *
   * @param reportedSlowness factor by which it says it runs slower than usual
   */
  public void checkAnswered(double reportedSlowness) {
    checkPending = false;
    if (unresponsive) {
      unresponsive = false;
      suspected = false;
    }
    slowdownFactor =
        Math.max(1, Math.min(MAX_SLOWDOWN_FACTOR, Math.max(slowdownFactor, reportedSlowness)));
  }

  /** Notes that a check had no answer. */
  public void checkUnanswered() {
    checkPending = false;
  }

  /** Notes that the endpoint itself said it is leaving. */
  public void markLeaving() {
    leaving = true;
  }

  void scheduleRemoval(long atNanos) {
    if (!removalScheduled) {
      removalScheduled = true;
      removalNanos = atNanos;
    }
  }

  boolean removalDue(long nowNanos) {
    return removalScheduled && nowNanos - removalNanos >= 0;
  }

  /** Returns the requests of this process whose path includes the endpoint. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the tokens of the requests of this process whose path includes the endpoint. */
  public long tokensInFlight() {
    return tokensInFlight;
  }

  /** Counts a request that starts to use the endpoint. */
  public void requestStarted(long tokens) {
    inFlight++;
    tokensInFlight += tokens;
  }

  /** Counts a request that no longer uses the endpoint. */
  public void requestEnded(long tokens) {
    inFlight--;
    tokensInFlight -= tokens;
  }

  /** Returns the time at which a request last advanced through the endpoint, in nanoseconds. */
  public long lastProgressNanos() {
    return lastProgressNanos;
  }

  /**
   * Notes that a request advanced through the endpoint.
   *
   * @param nowNanos present time in nanoseconds
   * @param ratio time that it took against the expected time
   */
  public void recordProgress(long nowNanos, double ratio) {
    lastProgressNanos = nowNanos;
    consecutiveFailures = 0;
    slowdownFactor +=
        NEW_SAMPLE_WEIGHT * (Math.max(1, Math.min(MAX_SLOWDOWN_FACTOR, ratio)) - slowdownFactor);
  }

  /** Returns how much slower than expected requests advance through the endpoint; 1 or more. */
  public double slowdownFactor() {
    return slowdownFactor;
  }

  /** Notes an answer of a plain service. */
  public void recordAnswer(boolean failed, double millis) {
    failureRate += NEW_SAMPLE_WEIGHT * ((failed ? 1 : 0) - failureRate);
    latencyMillis += (latencyMillis == 0 ? 1 : NEW_SAMPLE_WEIGHT) * (millis - latencyMillis);
    if (!failed) {
      consecutiveFailures = 0;
    }
  }

  /** Returns the recent share of failures, 0 to 1. */
  public double failureRate() {
    return failureRate;
  }

  /** Returns the recent time of an answer in milliseconds; 0 if there was none. */
  public double latencyMillis() {
    return latencyMillis;
  }

  /** Returns the layers that the endpoint holds or was ordered to hold. */
  public Optional<LayerRange> plannedLayers(long nowNanos) {
    if (entry.layers().isPresent()) {
      return entry.layers();
    }
    return nowNanos - orderPendingUntilNanos < 0 ? orderLayers : Optional.empty();
  }

  /** Tells whether an order is on its way or being carried out. */
  public boolean orderPending(long nowNanos) {
    return orderLayers.isPresent() && nowNanos - orderPendingUntilNanos < 0;
  }

  /** Notes an order that was given. */
  public void orderLayers(LayerRange layers, long untilNanos) {
    orderLayers = Optional.of(layers);
    orderPendingUntilNanos = untilNanos;
  }

  /** Returns the orders that the endpoint has accepted since its start, as far as is known. */
  public long ordersAccepted() {
    return ordersAccepted;
  }

  /** Tells whether the number of accepted orders must be read from the endpoint. */
  public boolean orderCountUncertain() {
    return orderCountUncertain;
  }

  /** Notes that the endpoint accepted an order. */
  public void orderAccepted() {
    ordersAccepted++;
  }

  /** Notes that the endpoint refused an order: it knows of another number of orders. */
  public void orderRefused() {
    orderCountUncertain = true;
    orderLayers = Optional.empty();
  }

  /** Notes that an order has no answer: it may be carried out now, later or never. */
  public void orderUnanswered() {
    orderCountUncertain = true;
  }

  /** Takes the number of accepted orders that the endpoint reports. */
  public void ordersReported(long accepted) {
    ordersAccepted = accepted;
    orderCountUncertain = false;
  }
}
