package io.zinniawood.core.entry;

/** Answer of the readiness probe. */
public enum Readiness {
  /** No configuration has been accepted yet. */
  STARTING,
  /** The entry takes requests. */
  READY,
  /** The entry is about to stop. */
  DRAINING
}
