package io.zinniawood.core.entry;

/** Phase of one epoch of a stage session. */
enum SessionPhase {
  /** The stages were asked to open the epoch. */
  OPENING,
  /** The input of the next position was sent. */
  RUNNING,
  /** The same chain was opened again to find out which stage stopped. */
  PROBING,
  /** The input was sent again after all stages had answered a probe without progress. */
  INPUT_RESENT,
  /** No replacement is available; the session waits for one. */
  WAITING_FOR_STAGE,
  /** The request waits for the retry delay before a new session, or has not been routed yet. */
  RETRY_DELAY;

  /** Tells whether the token of a sent input is awaited. */
  boolean awaitsToken() {
    return this == RUNNING || this == INPUT_RESENT;
  }

  /** Tells whether confirmations of the epoch are awaited. */
  boolean awaitsConfirmations() {
    return this == OPENING || this == PROBING;
  }
}
