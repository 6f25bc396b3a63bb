package io.zinniawood.core.entry;

/** Phase of an attempt of a service call. */
enum AttemptPhase {
  /** The attempt was sent; its answer is awaited. */
  SENT,
  /** A cancel was sent; its result or the answer is awaited. */
  CANCELLING,
  /** The attempt runs or may run; the request waits for its answer or the deadline. */
  RUNNING,
  /** The table was asked to release the claim, or to return the row if another state holds it. */
  RELEASING,
  /**
   * The call is refused; before the answer, the table was asked for a tombstone that stops all
   * attempts with its key.
   */
  REFUSING
}
