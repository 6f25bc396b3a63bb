package io.zinniawood.core.entry;

/** Phase in the life of an entry process. */
enum Lifecycle {
  /** No configuration has been accepted. */
  STARTING,
  /** Requests are taken. */
  READY,
  /** The readiness probe fails, but requests are taken until the balancer has noticed. */
  DRAIN_GRACE,
  /** New requests are refused; open requests go on. */
  DRAINING,
  /** The stop was requested from the shell. */
  STOPPED
}
