package io.zinniawood.core.agent;

import io.zinniawood.core.id.Incarnation;

/**
 * Identifies one run of a connected process.
 *
 * @param nodeId id of the node
 * @param incarnation incarnation that identifies the run
 */
public record PeerId(String nodeId, Incarnation incarnation) {}
