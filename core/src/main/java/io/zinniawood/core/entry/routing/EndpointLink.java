package io.zinniawood.core.entry.routing;

import io.zinniawood.core.id.EndpointId;

/**
 * Directed link between two endpoints of a chain.
 *
 * @param from sending endpoint
 * @param to receiving endpoint
 */
public record EndpointLink(EndpointId from, EndpointId to) {}
