package io.zinniawood.core.acceptance;

/** Timers of the acceptance reducer. */
public enum AcceptanceTimer {
  /** Starts the next round. */
  POLL,
  /** Limits the time that one step of a round waits for its response. */
  STEP
}
