package io.zinniawood.core.agent;

import io.zinniawood.core.model.ClaimRow;

/** Result of claiming an idempotency key. */
public sealed interface ClaimWrite {

  /** The row names this attempt. */
  record Claimed() implements ClaimWrite {}

  /**
   * The row names another attempt or state.
   *
   * @param row the row
   */
  record HeldByOther(ClaimRow row) implements ClaimWrite {}

  /** The table was not reached; the row does not name this attempt. */
  record NotWritten() implements ClaimWrite {}

  /** The table could not be read or written; the row may name this attempt. */
  record Unavailable() implements ClaimWrite {}
}
