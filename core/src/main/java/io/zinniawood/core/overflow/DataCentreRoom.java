package io.zinniawood.core.overflow;

import io.zinniawood.core.id.DataCentreId;

/**
 * Room of a data centre for whole paths, bounded by its layer with the least memory.
 *
 * @param capacityTokens tokens that its whole copies of the model hold without load; 0 if its
 *     endpoints offer no path
 * @param freeTokens tokens that are free in whole copies
 * @param guestTokens tokens in use by requests from other data centres
 * @param figuresAgeMillis age of the oldest figure in milliseconds
 */
public record DataCentreRoom(
    DataCentreId dataCentre,
    double capacityTokens,
    double freeTokens,
    double guestTokens,
    long figuresAgeMillis) {
  /** Age after which the figures of other relays no longer count. */
  private static final long MAX_FIGURES_AGE_MILLIS = 2_000;

  /** Share of the memory that is free without guests which guests may use. */
  public static final double MAX_GUEST_SHARE = 0.5;

  /** Returns whether the figures are recent enough to be used. */
  public boolean current() {
    return figuresAgeMillis <= MAX_FIGURES_AGE_MILLIS;
  }

  /** Returns the tokens that further guests may use; 0 if the figures are too old. */
  public double guestRoomTokens() {
    double freeWithoutGuests = freeTokens + guestTokens;
    return current() ? Math.max(0, MAX_GUEST_SHARE * freeWithoutGuests - guestTokens) : 0;
  }
}
