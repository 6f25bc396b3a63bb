package io.zinniawood.core.entry;

import io.zinniawood.core.id.Fence;
import io.zinniawood.core.model.ClaimRow;

/** Result of the release of an idempotency key. */
public sealed interface ClaimReleaseResult {

  /**
   * The tombstone stands; no copy of the attempt can start.
   *
   * @param nextFence fence for the next attempt
   */
  record Released(Fence nextFence) implements ClaimReleaseResult {}

  /**
   * Another state stands in the row.
   *
   * @param row the row
   */
  record Held(ClaimRow row) implements ClaimReleaseResult {}

  /** The table could not be reached. */
  record Unavailable() implements ClaimReleaseResult {}
}
