package io.zinniawood.core.model;

/** State of an attempt at the time when the agent handled its cancel. */
public enum CancelOutcome {
  /** The attempt had not started and never will. */
  NOT_STARTED,
  /** The attempt is running. */
  RUNNING,
  /** The attempt had finished. */
  FINISHED
}
