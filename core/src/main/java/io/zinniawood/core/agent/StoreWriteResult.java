package io.zinniawood.core.agent;

/** Result of a write that is retried until it succeeds. */
public enum StoreWriteResult {
  /** The write took effect. */
  DONE,
  /** The write failed or its outcome is unknown. */
  FAILED
}
