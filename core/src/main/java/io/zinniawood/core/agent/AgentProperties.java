package io.zinniawood.core.agent;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.model.NodeAddress;

/**
 * Properties of an agent that do not change during a run.
 *
 * @param endpoint endpoint that the agent serves
 * @param incarnation incarnation that identifies this run
 * @param dataCentre data centre of the VM
 * @param pool pool of the endpoint
 * @param address address of the port for the internal protocol
 * @param maxConcurrentCalls maximum number of concurrent calls of a plain service, at least 1
 * @param keptOutputBytes memory for retained stage outputs in bytes
 */
public record AgentProperties(
    EndpointId endpoint,
    Incarnation incarnation,
    DataCentreId dataCentre,
    PoolId pool,
    NodeAddress address,
    int maxConcurrentCalls,
    long keptOutputBytes) {
  /** Validates the limits. */
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
