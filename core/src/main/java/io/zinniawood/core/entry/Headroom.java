package io.zinniawood.core.entry;

import io.zinniawood.core.model.Priority;

/** Part of an endpoint's limit that a piece of work may use. */
@FunctionalInterface
interface Headroom {
  /**
   * A stage that continues an answer in progress may exceed the limit once more over: the limit
   * keeps new work out, while the answers of a lost replica need a place at the others at once.
   */
  Headroom RECOVERY = limit -> 2 * limit;

  /** Returns the most work in flight at an endpoint with the given limit. */
  int maxInFlight(int limit);

  /** Returns the headroom of new work; lower priorities leave a part of the limit free. */
  static Headroom forNewWork(Priority priority) {
    return switch (priority) {
      case INTERACTIVE -> limit -> limit;
      case NORMAL -> limit -> limit - limit / 20;
      case BATCH -> limit -> limit - limit / 5;
    };
  }
}
