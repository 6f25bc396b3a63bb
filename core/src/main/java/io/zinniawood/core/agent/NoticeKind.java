package io.zinniawood.core.agent;

/** Kind of a notice. */
public enum NoticeKind {
  /** Work was refused. */
  REFUSED,
  /** Work failed. */
  FAILED,
  /** An order was passed or refused. */
  ORDER,
  /** A session changed. */
  SESSION,
  /** The table became unavailable or available. */
  STORE,
  /** The serving state changed. */
  STATE
}
