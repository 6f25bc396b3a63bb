package io.zinniawood.core.model;

/** Reason why an agent refused or failed a piece of work. */
public enum RefusalReason {
  /** The message is for another incarnation of the agent; this one did not run the work. */
  WRONG_INCARNATION,
  /** The endpoint is leaving; the work did not start. */
  LEAVING,
  /** The endpoint is at its limit; the work did not start. */
  OVERLOADED,
  /** The deadline passed before the work started. */
  DEADLINE_EXCEEDED,
  /** The attempt was cancelled before it started. */
  CANCELLED,
  /** The claim of the idempotency key belongs to another attempt; the claim row is attached. */
  CLAIMED_BY_OTHER,
  /** The key was used with another request body. */
  DIGEST_MISMATCH,
  /** The table could not be reached; the work did not start. */
  STORE_UNAVAILABLE,
  /** The endpoint does not serve the model, layer range or service that the message names. */
  NOT_SERVED,
  /** The agent does not know the session or the epoch. */
  UNKNOWN_SESSION,
  /** The epoch of the message is lower than the session's current epoch. */
  STALE_EPOCH,
  /** The kept outputs no longer cover the positions to send again. */
  REPLAY_UNAVAILABLE,
  /** The endpoint failed while it ran the work. */
  ENDPOINT_FAILED,
  /** The next stage cannot be reached. */
  PEER_UNREACHABLE,
  /** The agent's bounded cache of results of finished attempts no longer contains this one. */
  RESULT_EVICTED
}
