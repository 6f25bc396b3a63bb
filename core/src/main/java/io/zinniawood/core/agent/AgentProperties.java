package io.zinniawood.core.agent;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.model.NodeAddress;

/**
 * Fixed properties of one run of an agent.
 *
 * @param endpoint endpoint of the agent
 * @param incarnation run of the agent
 * @param dataCentre data centre of the VM
 * @param pool pool of the endpoint
 * @param address address of the own-protocol port
 * @param maxConcurrentCalls most concurrent calls of a plain service, at least 1
 * @param keptOutputBytes memory for kept stage outputs in bytes
 */
public record AgentProperties(
    EndpointId endpoint,
    Incarnation incarnation,
    DataCentreId dataCentre,
    PoolId pool,
    NodeAddress address,
    int maxConcurrentCalls,
    long keptOutputBytes) {
  /** Checks the limits. */
  public AgentProperties {
    if (maxConcurrentCalls < 1) {
      throw new IllegalArgumentException(
          "maxConcurrentCalls must be at least 1, but is " + maxConcurrentCalls);
    }
    if (keptOutputBytes < 0) {
      throw new IllegalArgumentException(
          "keptOutputBytes must not be negative, but is " + keptOutputBytes);
    }
  }
}
