package io.zinniawood.core.path;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;

/**
 * Layers of a path that one endpoint runs.
 *
 * @param endpoint the endpoint
 * @param address its address
 * @param layers the layers
 */
public record PathPart(EndpointId endpoint, NodeAddress address, LayerRange layers) {}
