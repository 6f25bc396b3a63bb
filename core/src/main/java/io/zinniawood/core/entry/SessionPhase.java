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
  REPEATED,
  /** No replacement is available; the session waits for one. */
  PARKED,
  /** The request waits for the delay before a new session. */
  DELAYED;

  /** Tells whether the token of a sent input is awaited. */
  boolean awaitsToken() {
    return this == RUNNING || this == REPEATED;
  }

  /** Tells whether the stages' confirmations are awaited. */
  boolean awaitsStages() {
    return this == OPENING || this == PROBING;
  }
}
