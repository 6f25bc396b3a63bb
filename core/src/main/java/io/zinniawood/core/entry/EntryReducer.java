package io.zinniawood.core.entry;

import io.zinniawood.core.runtime.Reducer;
import io.zinniawood.core.runtime.Step;

/** Decisions of the entry role; each event type is handled by the class of its concern. */
public final class EntryReducer implements Reducer<EntryState, EntryEvent, EntryEffect> {

  /** Creates the reducer; it keeps no state of its own. */
  public EntryReducer() {}

  @Override
  public Step<EntryState, EntryEffect> reduce(EntryState state, long nowNanos, EntryEvent event) {
    Turn turn = new Turn(state, nowNanos);
    event.accept(new EntryEventDispatcher(turn));
    return turn.finish();
  }
}
