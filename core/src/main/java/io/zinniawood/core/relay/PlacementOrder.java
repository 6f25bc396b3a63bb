package io.zinniawood.core.relay;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;

/**
 * Order to an endpoint to hold layers.
 *
 * @param endpoint the endpoint
 * @param address its address
 * @param layers layers to hold
 * @param ordersAccepted orders that the endpoint must have accepted so far; makes an order that
 *     arrives late fail
 * @param fencingNumber fencing number of the controller lease
 */
public record PlacementOrder(
    EndpointId endpoint,
    NodeAddress address,
    LayerRange layers,
    long ordersAccepted,
    FencingNumber fencingNumber) {}
