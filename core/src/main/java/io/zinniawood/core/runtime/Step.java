package io.zinniawood.core.runtime;

import io.vavr.collection.Vector;
import java.util.Objects;

/**
 * Result of reducing one event.
 *
 * @param <S> state type
 * @param <F> effect type
 * @param state state after the event
 * @param effects effects to carry out, in order
 */
public record Step<S, F>(S state, Vector<F> effects) {
  /** Checks that neither part is null. */
  public Step {
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(effects, "effects");
  }

  /** Returns a step without effects. */
  public static <S, F> Step<S, F> of(S state) {
    return new Step<>(state, Vector.empty());
  }

  /** Returns a step with the given effects. */
  @SafeVarargs
  public static <S, F> Step<S, F> of(S state, F... effects) {
    return new Step<>(state, Vector.of(effects));
  }

  /** Returns this step with one more effect at the end. */
  public Step<S, F> and(F effect) {
    return new Step<>(state, effects.append(effect));
  }

  /** Returns this step with more effects at the end. */
  public Step<S, F> andAll(Iterable<? extends F> more) {
    return new Step<>(state, effects.appendAll(more));
  }
}
