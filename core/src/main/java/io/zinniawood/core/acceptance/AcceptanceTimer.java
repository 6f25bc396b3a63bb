package io.zinniawood.core.acceptance;

/** Timer of the acceptance. */
public enum AcceptanceTimer {
  /** The wait before the next round. */
  POLL,
  /** The time within which the store must answer one step of a round. */
  STEP
}
