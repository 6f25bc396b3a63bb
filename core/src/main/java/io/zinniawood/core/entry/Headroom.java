package io.zinniawood.core.entry;

import io.zinniawood.core.model.Priority;

/**
 * Maximum work in flight at an endpoint for one kind of work, derived from the endpoint's limit.
 */
@FunctionalInterface
interface Headroom {
  /**
   * Stages that continue an answer in progress may use twice the limit: the answers of a lost
   * replica must move to the other replicas at once, while the limit still keeps new work out.
   */
  Headroom RECOVERY = limit -> 2 * limit;

  /** Returns the maximum work in flight at an endpoint with the given limit. */
  int maxInFlight(int limit);

  /** Returns the headroom of new work; lower priorities leave a part of the limit unused. */
  static Headroom forNewWork(Priority priority) {
    return switch (priority) {
      case INTERACTIVE -> limit -> limit;
      case NORMAL -> limit -> limit - limit / 20;
      case BATCH -> limit -> limit - limit / 5;
    };
  }
}
