package io.zinniawood.core.agent;

import io.zinniawood.core.id.Incarnation;

/**
 * Identifies one connected process for the lifetime of its run.
 *
 * @param nodeId node id
 * @param incarnation run of the process
 */
public record PeerId(String nodeId, Incarnation incarnation) {}
