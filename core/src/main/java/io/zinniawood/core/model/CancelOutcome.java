package io.zinniawood.core.model;

/** State of an attempt when the agent handled its cancellation. */
public enum CancelOutcome {
  /** The attempt had not started and will not start. */
  NOT_STARTED,
  /** The attempt is running. */
  RUNNING,
  /** The attempt had finished. */
  FINISHED
}
