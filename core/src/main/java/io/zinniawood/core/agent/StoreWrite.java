package io.zinniawood.core.agent;

/** Result of a write that is retried until it succeeds. */
public enum StoreWrite {
  /** The write took effect. */
  DONE,
  /** The write failed or its result is not known. */
  FAILED
}
