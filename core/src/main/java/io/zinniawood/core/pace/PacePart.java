package io.zinniawood.core.pace;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.load.EndpointLoad;
import io.zinniawood.core.route.AcceleratorProfile;

/**
 * Part of a path, with what determines the time that its endpoint needs for an event.
 *
 * @param layers layers that the path uses at the endpoint
 * @param heldLayers layers that the endpoint holds
 * @param load load of the endpoint by the requests of all relays
 * @param othersRequests share of the requests of the load that other relays sent
 */
public record PacePart(
    EndpointId endpoint,
    AcceleratorProfile accelerator,
    int layers,
    int heldLayers,
    EndpointLoad load,
    double othersRequests) {}
