package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.model.ClaimRow;

/** Result of reading the claim row when a call arrives. */
public sealed interface ClaimReadResult {
  /**
   * The table answered.
   *
   * @param row claim row, none if the key was never claimed or released
   */
  record Answered(Option<ClaimRow> row) implements ClaimReadResult {}

  /** The table could not be reached. */
  record Unavailable() implements ClaimReadResult {}
}
