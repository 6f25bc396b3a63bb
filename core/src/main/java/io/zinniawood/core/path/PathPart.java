package io.zinniawood.core.path;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;

/** Layer range of a path and the endpoint that runs it. */
public record PathPart(EndpointId endpoint, NodeAddress address, LayerRange layers) {}
