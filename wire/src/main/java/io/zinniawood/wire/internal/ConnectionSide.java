package io.zinniawood.wire.internal;

/** Side of a connection that this process is on. */
enum ConnectionSide {
  /** This process opened the connection. */
  INITIATOR,
  /** The other process opened the connection. */
  ACCEPTOR
}
