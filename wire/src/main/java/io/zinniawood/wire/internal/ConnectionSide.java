package io.zinniawood.wire.internal;

/** Role of this process in a connection. */
enum ConnectionSide {
  /** This process opened the connection. */
  INITIATOR,
  /** The other process opened the connection. */
  ACCEPTOR
}
