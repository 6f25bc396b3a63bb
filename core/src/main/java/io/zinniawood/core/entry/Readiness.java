package io.zinniawood.core.entry;

/** Answer of the readiness probe. */
public enum Readiness {
  /** No configuration has been accepted yet. */
  STARTING,
  /** The entry accepts requests. */
  READY,
  /** The entry drains and is about to stop. */
  DRAINING
}
