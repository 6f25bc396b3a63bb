package io.zinniawood.core.entry.membership;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.model.NodeAddress;

/**
 * What the VM list and the agent's greeting say about the place of an endpoint.
 *
 * @param address address of the agent
 * @param pool pool
 * @param dataCentre data centre
 * @param listed whether the present VM list contains the endpoint
 * @param listedLeaving whether the present VM list marks the endpoint as leaving
 */
public record Placement(
    NodeAddress address,
    PoolId pool,
    DataCentreId dataCentre,
    boolean listed,
    boolean listedLeaving) {

  /** Returns this placement as an endpoint that the present VM list does not contain. */
  public Placement unlisted() {
    return new Placement(address, pool, dataCentre, false, listedLeaving);
  }
}
