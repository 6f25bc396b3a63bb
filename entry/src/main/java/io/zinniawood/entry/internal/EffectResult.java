package io.zinniawood.entry.internal;

/** Return value of the effect visitor. Effects report their outcome through events instead. */
enum EffectResult {
  /** The effect was started or has completed. */
  DONE
}
