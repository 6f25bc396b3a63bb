package io.zinniawood.core.entry;

import io.zinniawood.core.id.Fence;
import io.zinniawood.core.model.ClaimRow;

/** Result of the release of an idempotency key. */
public sealed interface ClaimResolution {

  /**
   * The tombstone stands; no copy of the attempt can start.
   *
   * @param nextFence fence for the next attempt
   */
  record Released(Fence nextFence) implements ClaimResolution {}

  /**
   * Another state stands in the row.
   *
   * @param row the row
   */
  record Held(ClaimRow row) implements ClaimResolution {}

  /** The table could not be reached. */
  record Unresolved() implements ClaimResolution {}
}
