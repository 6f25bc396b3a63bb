package io.zinniawood.core.entry;

/** Phase of one epoch of a stage session. */
enum SessionPhase {
  /** The stages were asked to open the epoch. */
  OPENING,
  /** The input of the next position was sent. */
  RUNNING,
  /** The input was repeated, as no token came in time. */
  REPEATED,
  /** The same chain was opened again to find out which stage stopped. */
  PROBING,
  /** No replacement is available; the session waits for one. */
  PARKED
}
