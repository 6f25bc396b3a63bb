package io.zinniawood.core.runtime;

/**
 * Pure state transition function of one role.
 *
 * @param <S> state type
 * @param <E> event type
 * @param <F> effect type
 */
@FunctionalInterface
public interface Reducer<S, E, F> {
  /**
   * Applies one event to the state. Reads no clock, starts no thread and does no I/O.
   *
   * @param state state before the event
   * @param nowNanos monotonic time of the event in nanoseconds
   * @return the state after the event and the effects to carry out
   */
  Step<S, F> reduce(S state, long nowNanos, E event);
}
