package io.zinniawood.core.entry;

/** Tells whose attempt a request waits for. */
enum AttemptOrigin {
  /** The request's own attempt. */
  OWN,
  /**
   * The attempt of another request with the same idempotency key. It is joined to get its answer
   * and never cancelled.
   */
  OTHER_REQUEST,
  /** No agent has the attempt; it only names a tombstone. */
  TOMBSTONE_ONLY
}
