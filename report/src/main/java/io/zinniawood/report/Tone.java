package io.zinniawood.report;

/** Importance of a line; the lower-case name is its CSS class and JSON value. */
public enum Tone {
  /** Neutral information. */
  PLAIN,
  /** Normal, expected state. */
  GOOD,
  /** Possible problem that an operator should check. */
  WARNING,
  /** Problem that affects callers. */
  BAD,
  /** Missing or outdated data. */
  UNKNOWN
}
