package io.zinniawood.core.entry;

/** Phase of an attempt of a service call. */
enum AttemptPhase {
  /** The answer is awaited. */
  SENT,
  /** A cancel was sent; its result or the answer is awaited. */
  CANCELLING,
  /** The attempt runs or may run, and only its answer or the deadline can end it. */
  RUNNING,
  /** The table was asked to release the key or to show who holds it. */
  RELEASING,
  /** The call is refused; the table was asked to rule its key out before the answer. */
  REFUSING
}
