package io.zinniawood.core.relay;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;

/**
 * Order to an endpoint to load and hold a range of layers.
 *
 * @param endpoint endpoint that receives the order
 * @param address address of the endpoint
 * @param layers layers to hold
 * @param ordersAccepted number of orders that the endpoint must have accepted before this one, so
 *     that it refuses an order that arrives late
 * @param fencingNumber fencing number of the controller lease
 */
public record PlacementOrder(
    EndpointId endpoint,
    NodeAddress address,
    LayerRange layers,
    long ordersAccepted,
    FencingNumber fencingNumber) {}
