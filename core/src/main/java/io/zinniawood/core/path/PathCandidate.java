package io.zinniawood.core.path;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;

/**
 * Endpoint that a path may use.
 *
 * @param layers layers that the endpoint holds
 * @param millisPerLayer expected time of one pass through one layer in milliseconds, including
 *     queueing
 * @param mayBeFirst whether the endpoint may receive the request as the first one of a path
 */
public record PathCandidate(
    EndpointId endpoint,
    NodeAddress address,
    DataCentreId dataCentre,
    LayerRange layers,
    double millisPerLayer,
    boolean mayBeFirst) {}
