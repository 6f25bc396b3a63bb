package io.zinniawood.core.model;

/** State of the claim of an idempotency key. */
public enum ClaimState {
  /** The owner may have called the service. */
  STARTED,
  /** No earlier attempt started or will start; the next attempt uses the row's fence. */
  RELEASED,
  /** The call finished and the row holds its answer. */
  FINISHED
}
