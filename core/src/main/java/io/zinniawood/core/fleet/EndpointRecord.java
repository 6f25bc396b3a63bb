package io.zinniawood.core.fleet;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import java.util.Optional;

/**
 * What a process knows of one endpoint: its entry in the list and what requests showed. Confined to
 * the reducer that owns it.
 */
public final class EndpointRecord {
  /** Weight of the newest observation in the averages. */
  private static final double AVERAGE_WEIGHT = 0.15;

  /** Largest slowness; keeps a slow endpoint in reach of a test request. */
  private static final double MAX_SLOWNESS = 12;

  private FleetEndpoint entry;
  private int inFlight;
  private long tokensInFlight;
  private long lastProgressNanos;
  private double slowness = 1;
  private double failureShare;
  private double latencyMillis;
  private boolean suspected;
  private long suspectedAtNanos;
  private long suspectedUntilNanos;
  private boolean silent;
  private boolean checkOpen;
  private long checkedNanos;
  private int strikes;
  private boolean leaving;
  private long removalNanos;
  private boolean removalPlanned;
  private Optional<LayerRange> ordered = Optional.empty();
  private long orderedUntilNanos;
  private long ordersAccepted;
  private boolean ordersUncertain;

  EndpointRecord(FleetEndpoint entry) {
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
    if (!newer.sameStart(entry)) {
      slowness = 1;
      failureShare = 0;
      latencyMillis = 0;
      leaving = false;
      suspected = false;
      ordered = Optional.empty();
      ordersAccepted = 0;
      ordersUncertain = false;
    } else if (suspected
        && newer.rowVersion() > entry.rowVersion()
        && nowNanos - suspectedAtNanos > beatGraceNanos) {
      suspected = false;
    }
    if (newer.layers().isPresent()) {
      ordered = Optional.empty();
    }
    entry = newer;
    removalPlanned = false;
  }

  /** Tells whether new requests may go to the endpoint. */
  public boolean usable(long nowNanos) {
    return !entry.draining() && !leaving && !suspectedAt(nowNanos);
  }

  /** Tells whether the endpoint stays in the fleet as far as the list and its answers show. */
  public boolean stays() {
    return !entry.draining() && !leaving && !removalPlanned;
  }

  /** Tells whether the endpoint is avoided after a failure. */
  public boolean suspectedAt(long nowNanos) {
    return suspected && nowNanos - suspectedUntilNanos < 0;
  }

  /** Avoids the endpoint for a time that doubles with each failure in a row. */
  void suspect(long nowNanos, long baseNanos, int maxDoublings) {
    suspected = true;
    silent = false;
    suspectedAtNanos = nowNanos;
    suspectedUntilNanos = nowNanos + (baseNanos << Math.min(strikes, maxDoublings));
    strikes++;
  }

  /** Notes that the suspicion is for a lack of answers, which an answer ends. */
  void markSilent() {
    silent = true;
  }

  /** Tells whether the endpoint is avoided because it does not answer. */
  public boolean silentAt(long nowNanos) {
    return silent && suspectedAt(nowNanos);
  }

  /** Tells whether no check is open and the last one began long enough ago. */
  public boolean checkDue(long nowNanos, long intervalNanos) {
    return !checkOpen && (checkedNanos == 0 || nowNanos - checkedNanos >= intervalNanos);
  }

  /** Notes that the endpoint was asked for its report. */
  public void checkStarted(long nowNanos) {
    checkOpen = true;
    checkedNanos = nowNanos;
  }

  /**
   * Notes that the endpoint answered a check: it is no longer avoided for its silence.
   *
   * @param reportedSlowness factor by which it says it runs slower than usual
   */
  public void checkAnswered(double reportedSlowness) {
    checkOpen = false;
    if (silent) {
      silent = false;
      suspected = false;
    }
    slowness = Math.max(1, Math.min(MAX_SLOWNESS, Math.max(slowness, reportedSlowness)));
  }

  /** Notes that a check had no answer. */
  public void checkMissed() {
    checkOpen = false;
  }

  /** Notes that the endpoint itself said it is leaving. */
  public void markLeaving() {
    leaving = true;
  }

  void planRemoval(long atNanos) {
    if (!removalPlanned) {
      removalPlanned = true;
      removalNanos = atNanos;
    }
  }

  boolean removalDue(long nowNanos) {
    return removalPlanned && nowNanos - removalNanos >= 0;
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
  public void progressed(long nowNanos, double ratio) {
    lastProgressNanos = nowNanos;
    strikes = 0;
    slowness += AVERAGE_WEIGHT * (Math.max(1, Math.min(MAX_SLOWNESS, ratio)) - slowness);
  }

  /** Returns how much slower than expected requests advance through the endpoint; 1 or more. */
  public double slowness() {
    return slowness;
  }

  /** Notes an answer of a plain service. */
  public void answered(boolean failed, double millis) {
    failureShare += AVERAGE_WEIGHT * ((failed ? 1 : 0) - failureShare);
    latencyMillis += (latencyMillis == 0 ? 1 : AVERAGE_WEIGHT) * (millis - latencyMillis);
    if (!failed) {
      strikes = 0;
    }
  }

  /** Returns the recent share of failures, 0 to 1. */
  public double failureShare() {
    return failureShare;
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
    return nowNanos - orderedUntilNanos < 0 ? ordered : Optional.empty();
  }

  /** Tells whether an order is on its way or being carried out. */
  public boolean orderOpen(long nowNanos) {
    return ordered.isPresent() && nowNanos - orderedUntilNanos < 0;
  }

  /** Notes an order that was given. */
  public void ordered(LayerRange layers, long untilNanos) {
    ordered = Optional.of(layers);
    orderedUntilNanos = untilNanos;
  }

  /** Returns the orders that the endpoint has accepted since its start, as far as is known. */
  public long ordersAccepted() {
    return ordersAccepted;
  }

  /** Tells whether the number of accepted orders must be read from the endpoint. */
  public boolean ordersUncertain() {
    return ordersUncertain;
  }

  /** Notes that the endpoint accepted an order. */
  public void orderAccepted() {
    ordersAccepted++;
  }

  /** Notes that the endpoint refused an order: it knows of another number of orders. */
  public void orderRefused() {
    ordersUncertain = true;
    ordered = Optional.empty();
  }

  /** Notes that an order has no answer: it may be carried out now, later or never. */
  public void orderUnanswered() {
    ordersUncertain = true;
  }

  /** Takes the number of accepted orders that the endpoint reports. */
  public void ordersReported(long accepted) {
    ordersAccepted = accepted;
    ordersUncertain = false;
  }
}
