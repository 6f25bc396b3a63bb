package io.zinniawood.core.model;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.PoolId;

/**
 * Identity that an agent presents when a connection opens.
 *
 * @param endpoint endpoint of the agent
 * @param incarnation number that identifies one run of the agent
 * @param dataCentre data centre of the VM
 * @param pool pool of the endpoint
 * @param address address of the agent
 */
public record AgentIdentity(
    EndpointId endpoint,
    Incarnation incarnation,
    DataCentreId dataCentre,
    PoolId pool,
    NodeAddress address) {}
