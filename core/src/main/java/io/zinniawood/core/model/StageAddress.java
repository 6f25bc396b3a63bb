package io.zinniawood.core.model;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;

/**
 * One stage of a chain.
 *
 * @param endpoint endpoint that runs the stage
 * @param incarnation incarnation of the agent that may run the stage
 * @param address address of the agent
 * @param layers layers of the stage
 */
public record StageAddress(
    EndpointId endpoint, Incarnation incarnation, NodeAddress address, LayerRange layers) {}
