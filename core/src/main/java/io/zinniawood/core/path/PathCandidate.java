package io.zinniawood.core.path;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;

/**
 * Endpoint that may be part of a path.
 *
 * @param endpoint the endpoint
 * @param address its address
 * @param dataCentre its data centre
 * @param layers layers that it holds
 * @param millisPerLayer expected time of one pass through one layer, waiting included, in
 *     milliseconds
 */
public record PathCandidate(
    EndpointId endpoint,
    NodeAddress address,
    DataCentreId dataCentre,
    LayerRange layers,
    double millisPerLayer) {}
