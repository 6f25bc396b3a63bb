package io.zinniawood.core.model;

/** Priority of a request, highest first. */
public enum Priority {
  /** A user waits for the answer. */
  INTERACTIVE,
  /** The default. */
  NORMAL,
  /** Work that may wait for spare capacity. */
  BATCH
}
