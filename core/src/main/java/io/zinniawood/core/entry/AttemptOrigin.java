package io.zinniawood.core.entry;

/** Origin of the attempt for which a request waits. */
enum AttemptOrigin {
  /** The request's own attempt. */
  OWN,
  /**
   * An attempt of another request with the same idempotency key. The request waits for its answer
   * and never cancels it.
   */
  OTHER_REQUEST,
  /** Not sent to any agent; its id only identifies a tombstone in the claim row. */
  TOMBSTONE_ONLY
}
