package io.zinniawood.core.agent;

import io.zinniawood.core.model.ClaimRow;

/** Result of the write that claims an idempotency key. */
public sealed interface ClaimWriteResult {

  /** The row holds the claim of this attempt. */
  record Claimed() implements ClaimWriteResult {}

  /**
   * The row does not hold the claim of this attempt.
   *
   * @param row the row that was found
   */
  record HeldByOther(ClaimRow row) implements ClaimWriteResult {}

  /** The write did not take effect; the row does not hold the claim of this attempt. */
  record NotWritten() implements ClaimWriteResult {}

  /** The write may have taken effect; the row may hold the claim of this attempt. */
  record OutcomeUnknown() implements ClaimWriteResult {}
}
