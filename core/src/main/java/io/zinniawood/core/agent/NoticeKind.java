package io.zinniawood.core.agent;

/** Category of an {@link AgentNotice}. */
public enum NoticeKind {
  /** Work was refused. */
  REFUSED,
  /** Work failed. */
  FAILED,
  /** An engine order was passed to the engine or refused. */
  ORDER,
  /** A stage session changed. */
  SESSION,
  /** A write to the table was given up. */
  STORE,
  /** The serving state changed. */
  STATE
}
