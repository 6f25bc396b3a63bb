package io.zinniawood.report;

/** Weight of a line for its reader. */
public enum Tone {
  /** Nothing to do. */
  PLAIN,
  /** As it should be. */
  GOOD,
  /** Worth a look. */
  WARNING,
  /** Callers are affected. */
  BAD,
  /** The report does not know. */
  UNKNOWN
}
