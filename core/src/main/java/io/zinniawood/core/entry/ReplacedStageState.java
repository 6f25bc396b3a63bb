package io.zinniawood.core.entry;

/** Tells whether a replaced stage can hand over its KV cache. */
enum ReplacedStageState {
  /** Its agent and engine answer; only its link failed. */
  REACHABLE,
  /** It is lost, stalled or holds no state; the new stage is rebuilt by replay. */
  LOST
}
