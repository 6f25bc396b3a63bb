package io.zinniawood.core.entry;

/** Phase of one epoch of a stage session. */
enum SessionPhase {
  /** The stages were asked to open the epoch. */
  OPENING,
  /** The input of the next position was sent. */
  RUNNING,
  /** The same chain was opened again to find out which stage stopped. */
  PROBING,
  /** The input was repeated after all stages had answered the probe. */
  INPUT_RESENT,
  /** No replacement is available; the session waits for one. */
  WAITING_FOR_STAGE,
  /** The request waits for the delay before a new session. */
  RETRY_DELAY;

  /** Tells whether the token of a sent input is awaited. */
  boolean awaitsToken() {
    return this == RUNNING || this == INPUT_RESENT;
  }

  /** Tells whether the stages' confirmations are awaited. */
  boolean awaitsConfirmations() {
    return this == OPENING || this == PROBING;
  }
}
