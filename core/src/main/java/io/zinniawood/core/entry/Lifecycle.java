package io.zinniawood.core.entry;

/** Phase of an entry process. */
enum Lifecycle {
  /** No configuration has been accepted. */
  STARTING,
  /** Requests are accepted. */
  READY,
  /**
   * The readiness probe fails, but requests are accepted until the balancer has removed the entry.
   */
  DRAIN_GRACE,
  /** New requests are refused; open requests continue. */
  DRAINING,
  /** The shell was told to end the process. */
  STOPPED
}
