package io.zinniawood.entry;

import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.entry.Incident;
import io.zinniawood.core.entry.RequestResult;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message.ObjectiveCounts;
import java.util.function.Consumer;

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

  /**
   * Another entry sent its service-level counts, or the answer to those of this entry.
   *
   * @param reply sends a message to that entry
   */
  default void onObjectiveCounts(ObjectiveCounts counts, Consumer<ObjectiveCounts> reply) {
    onObjectiveCounts(counts);
  }

  /** A message of another process named the generation that it uses. */
  default void onPeerGeneration(String node, Generation generation) {}

  /** The entry is closed; does nothing by default. */
  default void close() {}

  /** Returns an observer that ignores everything. */
  static EntryObserver none() {
    return new EntryObserver() {};
  }
}
