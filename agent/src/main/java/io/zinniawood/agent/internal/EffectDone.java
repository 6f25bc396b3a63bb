package io.zinniawood.agent.internal;

/** Result of a handler that has nothing to return. */
public enum EffectDone {
  /** The effect was started. */
  DONE
}
