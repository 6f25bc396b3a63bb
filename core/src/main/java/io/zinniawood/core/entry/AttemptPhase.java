package io.zinniawood.core.entry;

/** Phase of an attempt of a service call. */
enum AttemptPhase {
  /** The answer is awaited. */
  SENT,
  /** A cancel was sent; its result or the answer is awaited. */
  CANCELLING,
  /** The agent confirmed that the attempt runs; only its answer can end it. */
  RUNNING,
  /** The table was asked to release the key. */
  RELEASING
}
