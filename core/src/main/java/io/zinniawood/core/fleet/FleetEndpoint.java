package io.zinniawood.core.fleet;

import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;
import java.util.Optional;

/**
 * Entry of the platform's list for one endpoint.
 *
 * @param id id of the endpoint
 * @param service service that it belongs to
 * @param address address for requests, reports and orders
 * @param dataCentre its data centre
 * @param slots requests that it runs at once
 * @param draining whether it is leaving
 * @param accelerator kind of its accelerator; none for a plain service
 * @param layers layers that it holds; none if it holds none
 * @param startedMillis Unix time of its start in milliseconds; 0 if unknown
 * @param rowVersion version of the store at which the entry was written
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
    long rowVersion) {
  /** Tells whether both entries are of one start of the endpoint. */
  public boolean sameIncarnation(FleetEndpoint other) {
    return startedMillis == other.startedMillis && address.equals(other.address);
  }
}
