package io.zinniawood.core.entry;

import io.zinniawood.core.id.Fence;
import io.zinniawood.core.model.ClaimRow;

/** Result of the release of an idempotency key. */
public sealed interface ClaimReleaseResult {

  /**
   * The row holds a tombstone, so the attempt can no longer start, even if its message arrives
   * late.
   *
   * @param nextFence fence for the next attempt
   */
  record Released(Fence nextFence) implements ClaimReleaseResult {}

  /**
   * The row holds another state.
   *
   * @param row current claim row
   */
  record Held(ClaimRow row) implements ClaimReleaseResult {}

  /** The table could not be reached. */
  record Unavailable() implements ClaimReleaseResult {}
}
