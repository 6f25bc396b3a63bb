package io.zinniawood.entry.internal;

/** Result of carrying out an effect; effects report back through events. */
enum EffectResult {
  /** The effect was started or carried out. */
  DONE
}
