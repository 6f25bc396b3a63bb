package io.zinniawood.core.entry.routing;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;

/**
 * Capacity of an endpoint for a range of layers.
 *
 * @param endpoint the endpoint
 * @param dataCentre its data centre
 * @param layers its layers
 * @param tokensPerSecond capacity, above 0
 */
public record StageCapacity(
    EndpointId endpoint, DataCentreId dataCentre, LayerRange layers, double tokensPerSecond) {}
