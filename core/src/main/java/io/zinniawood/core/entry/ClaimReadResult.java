package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.model.ClaimRow;

/** Result of reading a claim row on the arrival of a call. */
public sealed interface ClaimReadResult {
  /**
   * The table answered.
   *
   * @param row the row, none if the key was never claimed or released
   */
  record Answered(Option<ClaimRow> row) implements ClaimReadResult {}

  /** The table could not be reached. */
  record Unavailable() implements ClaimReadResult {}
}
