package io.zinniawood.agent.internal;

/** Return value of effect handlers, which have no result of their own. */
public enum EffectDone {
  /** The effect was started; its outcome, if any, is posted as an event. */
  DONE
}
