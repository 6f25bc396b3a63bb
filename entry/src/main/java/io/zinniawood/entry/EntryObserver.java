package io.zinniawood.entry;

import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.entry.Incident;
import io.zinniawood.core.entry.RequestResult;
import io.zinniawood.core.message.Message.ObjectiveCounts;

/**
 * Learns what happens in an entry, for reports and service-level counts. Must not block; results
 * and incidents come on the event-loop thread, the others on any thread.
 */
public interface EntryObserver {
  /** A request ended. */
  default void onResult(RequestResult result) {}

  /** An incident happened. */
  default void onIncident(Incident incident) {}

  /** A configuration came into force. */
  default void onConfiguration(AcceptedConfiguration configuration) {}

  /** Another entry sent its service-level counts. */
  default void onObjectiveCounts(ObjectiveCounts counts) {}

  /** Returns an observer that ignores everything. */
  static EntryObserver none() {
    return new EntryObserver() {};
  }
}
