package io.zinniawood.runtime;

/**
 * Executes effects. Runs on the thread of the event loop and must not block.
 *
 * @param <F> effect type
 */
@FunctionalInterface
public interface EffectHandler<F> {
  /** Executes one effect. */
  void handle(F effect);
}
