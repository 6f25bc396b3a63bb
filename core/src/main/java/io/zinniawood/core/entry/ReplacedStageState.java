package io.zinniawood.core.entry;

/** State of a replaced stage, which decides whether its KV cache can be imported. */
enum ReplacedStageState {
  /** Its agent and engine answer; only its link failed, so the cache can be imported. */
  REACHABLE,
  /** It is lost, stalled or has no session state; the new stage is rebuilt by replay. */
  LOST
}
