package io.zinniawood.core.entry.membership;

/** State of the connection from an entry to an agent. */
public enum ConnectionState {
  /** No connection is wanted. */
  IDLE,
  /** A connection is being opened. */
  CONNECTING,
  /** The connection is open. */
  CONNECTED,
  /** The entry waits before it connects again. */
  WAITING
}
