package io.zinniawood.core.model;

/** Tells whether a call may run more than once. */
public enum Idempotency {
  /** Running the call again has no further effect. */
  IDEMPOTENT,
  /** The call must run at most once. */
  NON_IDEMPOTENT
}
