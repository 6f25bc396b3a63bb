package io.zinniawood.core.agent;

import io.zinniawood.core.model.ClaimRow;

/** Result of claiming an idempotency key. */
public sealed interface ClaimWriteResult {

  /** The row names this attempt. */
  record Claimed() implements ClaimWriteResult {}

  /**
   * The row names another attempt or state.
   *
   * @param row the row
   */
  record HeldByOther(ClaimRow row) implements ClaimWriteResult {}

  /** The table was not reached; the row does not name this attempt. */
  record NotWritten() implements ClaimWriteResult {}

  /** The table could not be read or written; the row may name this attempt. */
  record OutcomeUnknown() implements ClaimWriteResult {}
}
