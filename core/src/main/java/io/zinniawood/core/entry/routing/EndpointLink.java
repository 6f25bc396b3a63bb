package io.zinniawood.core.entry.routing;

import io.zinniawood.core.id.EndpointId;

/**
 * Link between two stages.
 *
 * @param from sending endpoint
 * @param to receiving endpoint
 */
public record EndpointLink(EndpointId from, EndpointId to) {}
