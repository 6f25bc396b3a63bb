package io.zinniawood.core.entry.membership;

/** State of the connection from an entry to an agent. */
public enum ConnectionState {
  /** No connection is open or being opened. */
  IDLE,
  /** A connection is being opened. */
  CONNECTING,
  /** The connection is open. */
  CONNECTED,
  /** The entry waits for its backoff before it connects again. */
  WAITING
}
