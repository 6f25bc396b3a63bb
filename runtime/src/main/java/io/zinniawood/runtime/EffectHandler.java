package io.zinniawood.runtime;

/**
 * Carries out effects. Runs on the event-loop thread and must not block.
 *
 * @param <F> effect type
 */
@FunctionalInterface
public interface EffectHandler<F> {
  /** Carries out one effect. */
  void handle(F effect);
}
