package io.zinniawood.core.acceptance;

/** Whether an entry reads the configuration folder. */
public enum PollMode {
  /** The entry reads the folder and accepts edits. */
  POLLING,
  /**
   * The entry does not read the folder. It adopts configurations from its peers, and polls the
   * table only until it has one.
   */
  FOLLOWING
}
