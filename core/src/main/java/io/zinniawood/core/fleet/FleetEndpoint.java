package io.zinniawood.core.fleet;

import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * Entry for one endpoint in the platform's endpoint list.
 *
 * @param service service that the endpoint belongs to
 * @param address address for requests, reports and orders
 * @param slots number of requests that the endpoint runs concurrently
 * @param draining whether the endpoint is leaving the fleet
 * @param accelerator kind of the accelerator; empty for a plain service
 * @param layers layers that the endpoint holds; empty if it holds none
 * @param startedMillis Unix time of the process start in milliseconds; 0 if unknown
 * @param sequence number of check-ins of that start up to this entry; 0 if unknown
 * @param rowVersion store version at which the entry was written
 */
public record FleetEndpoint(
    EndpointId id,
    ServiceName service,
    NodeAddress address,
    DataCentreId dataCentre,
    int slots,
    boolean draining,
    Optional<AcceleratorKind> accelerator,
    Optional<LayerRange> layers,
    long startedMillis,
    long sequence,
    StoreVersion rowVersion) {
  /** Returns the process start that wrote the entry. */
  public EndpointIncarnation incarnation() {
    return new EndpointIncarnation(id, startedMillis);
  }

  /** Returns this entry with the statement that the endpoint is leaving. */
  FleetEndpoint asDraining() {
    return with(true, sequence, rowVersion);
  }

  /** Returns this entry as of another version of its row. */
  public FleetEndpoint withRowVersion(StoreVersion version) {
    return asOf(sequence, version);
  }

  /** Returns this entry as of another check-in, and the version of its row. */
  public FleetEndpoint asOf(long checkIn, StoreVersion version) {
    return with(draining, checkIn, version);
  }

  private FleetEndpoint with(boolean leaving, long checkIn, StoreVersion version) {
    return new FleetEndpoint(
        id,
        service,
        address,
        dataCentre,
        slots,
        leaving,
        accelerator,
        layers,
        startedMillis,
        checkIn,
        version);
  }

  /**
   * Returns a hash of everything but the check-in and the version of the row. It is equal on all
   * nodes.
   */
  public int contentHash() {
    return Objects.hash(
        id.value(),
        service.value(),
        address.host(),
        address.port(),
        dataCentre.value(),
        slots,
        draining,
        accelerator.map(AcceleratorKind::value).orElse(""),
        layers.map(LayerRange::fromLayer).orElse(0),
        layers.map(LayerRange::toLayerExclusive).orElse(0),
        startedMillis);
  }

  /** Returns whether this entry is a later check-in of the start that wrote another one. */
  public boolean continues(FleetEndpoint earlier) {
    return startedMillis == earlier.startedMillis && sequence > earlier.sequence;
  }

  /** Returns whether both entries belong to the same process start at the same address. */
  public boolean sameIncarnation(FleetEndpoint other) {
    return startedMillis == other.startedMillis && address.equals(other.address);
  }
}
