package io.zinniawood.core.acceptance;

/** Tells whether an entry reads the configuration folder. */
public enum PollMode {
  /** The entry reads the folder and accepts edits. */
  POLLING,
  /** The entry takes accepted configurations from its neighbours only. */
  FOLLOWING
}
