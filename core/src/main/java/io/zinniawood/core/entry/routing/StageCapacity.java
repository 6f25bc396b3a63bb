package io.zinniawood.core.entry.routing;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;

/**
 * Throughput of an endpoint for a range of layers.
 *
 * @param tokensPerSecond capacity; 0 or less excludes the endpoint from a flow plan
 */
public record StageCapacity(
    EndpointId endpoint, DataCentreId dataCentre, LayerRange layers, double tokensPerSecond) {}
