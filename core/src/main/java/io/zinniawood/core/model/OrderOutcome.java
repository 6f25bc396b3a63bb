package io.zinniawood.core.model;

/** Result of an engine order. */
public enum OrderOutcome {
  /** The engine carried out the order. */
  DONE,
  /** The order's fencing number is lower than one seen before. */
  STALE_FENCING_NUMBER,
  /** The agent does not know the highest fencing number yet, as the table cannot be read. */
  FENCING_UNKNOWN,
  /** The engine refused or failed the order. */
  FAILED
}
