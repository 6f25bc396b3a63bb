package io.zinniawood.core.entry;

import io.zinniawood.core.runtime.Reducer;
import io.zinniawood.core.runtime.Step;

/** Reducer of the entry role: computes the next state and the effects of each event. */
public final class EntryReducer implements Reducer<EntryState, EntryEvent, EntryEffect> {

  /** Creates a reducer, which is stateless. */
  public EntryReducer() {}

  @Override
  public Step<EntryState, EntryEffect> reduce(EntryState state, long nowNanos, EntryEvent event) {
    Turn turn = new Turn(state, nowNanos);
    FailureContainment.handle(turn, event);
    return turn.toStep();
  }
}
