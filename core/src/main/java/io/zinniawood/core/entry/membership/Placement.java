package io.zinniawood.core.entry.membership;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.model.NodeAddress;

/**
 * Address and location of an endpoint, from the VM list or from the identity of its agent.
 *
 * @param address address of the agent
 * @param listed whether the present VM list contains the endpoint
 * @param listedLeaving whether the present VM list marks the endpoint as leaving
 */
public record Placement(
    NodeAddress address,
    PoolId pool,
    DataCentreId dataCentre,
    boolean listed,
    boolean listedLeaving) {

  /** Returns the placement of an endpoint that the present VM list does not contain. */
  public Placement unlisted() {
    return new Placement(address, pool, dataCentre, false, listedLeaving);
  }
}
