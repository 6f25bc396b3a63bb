package io.zinniawood.entry;

import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.entry.Incident;
import io.zinniawood.core.entry.RequestResult;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message.ObjectiveCounts;
import java.util.function.Consumer;

/**
 * Receives results, incidents and peer data of an entry, for reports and service-level counts.
 * Methods must not block. {@link #onResult} and {@link #onIncident} are called on the event-loop
 * thread, the others on any thread.
 */
public interface EntryObserver {
  /** Called when a request ended. */
  default void onResult(RequestResult result) {}

  /** Called when an incident occurred. */
  default void onIncident(Incident incident) {}

  /** Called when a configuration came into force. */
  default void onConfiguration(AcceptedConfiguration configuration) {}

  /** Called with service-level counts to merge, which came from another entry or from this one. */
  default void onObjectiveCounts(ObjectiveCounts counts) {}

  /**
   * Called with service-level counts to merge, or with a receipt for the counts of this entry.
   *
   * @param reply sends a message to the entry that sent the counts
   */
  default void onObjectiveCounts(ObjectiveCounts counts, Consumer<ObjectiveCounts> reply) {
    onObjectiveCounts(counts);
  }

  /** Called when a message carried the configuration generation of another process. */
  default void onPeerGeneration(String node, Generation generation) {}

  /** Called when the entry is closed; does nothing by default. */
  default void close() {}

  /** Returns an observer that ignores everything. */
  static EntryObserver none() {
    return new EntryObserver() {};
  }
}
