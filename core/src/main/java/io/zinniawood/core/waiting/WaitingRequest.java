package io.zinniawood.core.waiting;

import io.zinniawood.core.id.ClientAccountId;
import java.util.Optional;
import java.util.OptionalDouble;

/** What the order of waiting requests knows of one of them. Mutable; confined to the reducer. */
public final class WaitingRequest {
  private final Optional<ClientAccountId> account;
  private final int accountPriority;
  private final int routePriority;
  private final long arrivedNanos;
  private long waitLimitNanos;
  private long cost = 1;
  private boolean started;
  private boolean returning;
  private boolean guaranteed;
  private int overtaken;
  private OptionalDouble predictedMillis = OptionalDouble.empty();

  /**
   * Creates the state of a request that has just arrived.
   *
   * @param accountPriority priority of its client account or, without one, of its route
   * @param waitLimitNanos time in nanoseconds for which it is meant to wait at most
   */
  public WaitingRequest(
      Optional<ClientAccountId> account,
      int accountPriority,
      int routePriority,
      long arrivedNanos,
      long waitLimitNanos) {
    this.account = account;
    this.accountPriority = accountPriority;
    this.routePriority = routePriority;
    this.arrivedNanos = arrivedNanos;
    this.waitLimitNanos = waitLimitNanos;
  }

  /** Returns the client account; empty for anonymous callers, who count as one account. */
  public Optional<ClientAccountId> account() {
    return account;
  }

  int accountPriority() {
    return accountPriority;
  }

  int routePriority() {
    return routePriority;
  }

  long arrivedNanos() {
    return arrivedNanos;
  }

  /** Returns the capacity that the request takes. */
  public long cost() {
    return cost;
  }

  boolean started() {
    return started;
  }

  boolean returning() {
    return returning;
  }

  /** Returns whether the request goes first as its account or priority would be starved. */
  public boolean guaranteed() {
    return guaranteed;
  }

  /** Sets the capacity that the request takes, as expected tokens or 1; at least 1. */
  public void setCost(long cost) {
    this.cost = Math.max(1, cost);
  }

  /** Sets whether the caller has received an event of the stream. */
  public void setStarted(boolean started) {
    this.started = started;
  }

  /** Sets the time in nanoseconds for which the request is meant to wait at most. */
  public void setWaitLimitNanos(long waitLimitNanos) {
    this.waitLimitNanos = waitLimitNanos;
  }

  /** Records that the caller returned after a refusal. */
  public void markReturning() {
    returning = true;
  }

  /** Returns the group of requests that wait alike; more urgent ones and returns are lower. */
  public int group() {
    return guaranteed ? WaitQuery.GUARANTEED : 2 * routePriority + (returning ? 0 : 1);
  }

  /** Returns the wait that was predicted on arrival, in milliseconds; empty without a forecast. */
  public OptionalDouble predictedMillis() {
    return predictedMillis;
  }

  /** Sets the wait that was predicted on arrival, in milliseconds. */
  public void setPredictedMillis(double millis) {
    predictedMillis = OptionalDouble.of(millis);
  }

  void setGuaranteed(boolean guaranteed) {
    this.guaranteed = guaranteed;
  }

  /** Records that a request was sent; counts it if it was more urgent and arrived later. */
  public void otherSent(WaitingRequest other) {
    if (other.arrivedNanos - arrivedNanos > 0 && other.moreUrgentThan(this)) {
      overtaken++;
    }
  }

  private boolean moreUrgentThan(WaitingRequest other) {
    return accountPriority != other.accountPriority
        ? accountPriority < other.accountPriority
        : routePriority < other.routePriority;
  }

  /** Returns whether the request has been overtaken, or has waited, for as long as it may be. */
  public boolean due(long nowNanos) {
    return overtaken >= UrgencyOrder.MAX_OVERTAKEN || nowNanos - arrivedNanos >= waitLimitNanos / 2;
  }
}
