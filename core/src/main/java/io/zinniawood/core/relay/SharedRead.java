package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.StoreVersion;
import java.util.List;

/**
 * All changes of the endpoint list after one version of the store and up to another, read by one
 * relay for the others.
 *
 * @param afterVersion version of the store after which the changes begin
 * @param version version of the store up to which the changes are complete
 * @param storeMillis time of the store's steady clock at which it answered, in milliseconds
 * @param changed entries that are new or differ in more than their row version and check-in
 * @param heartbeats entries of which only the row version and the check-in changed
 * @param removed ids of the entries that are no longer listed
 */
public record SharedRead(
    StoreVersion afterVersion,
    StoreVersion version,
    long storeMillis,
    List<FleetEndpoint> changed,
    List<Heartbeat> heartbeats,
    List<EndpointId> removed) {
  /** Copies the lists. */
  public SharedRead {
    changed = List.copyOf(changed);
    heartbeats = List.copyOf(heartbeats);
    removed = List.copyOf(removed);
  }

  /**
   * Entry of the endpoint list of which only the row version and the check-in changed.
   *
   * @param sequence number of the check-in; 0 if unknown
   * @param contentHash {@link FleetEndpoint#contentHash} of the entry; a receiver whose entry has
   *     another one cannot use the heartbeat
   */
  public record Heartbeat(
      EndpointId endpoint, long sequence, StoreVersion rowVersion, int contentHash) {}
}
