package io.zinniawood.core.entry.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;

/**
 * Maximum flow of tokens for one model through the endpoints known to an entry.
 *
 * @param tokensPerSecond value of the maximum flow, the upper bound on throughput
 * @param endpointFlows flow through each endpoint in tokens per second
 * @param hopFractions for each hop, the fraction of the flow into its target that uses this hop
 */
public record FlowPlan(
    double tokensPerSecond, Map<EndpointId, Double> endpointFlows, Map<Hop, Double> hopFractions) {
  /** Plan of a model that no endpoint serves. */
  public static final FlowPlan EMPTY = new FlowPlan(0, HashMap.empty(), HashMap.empty());

  /**
   * Returns the flow through an endpoint in tokens per second, or 0 if the plan does not use it.
   */
  public double endpointFlow(EndpointId endpoint) {
    return endpointFlows.getOrElse(endpoint, 0.0);
  }

  /** Returns the fraction of the flow into the hop's target that uses this hop, 0 to 1. */
  public double hopFraction(Hop hop) {
    return hopFractions.getOrElse(hop, 0.0);
  }

  /**
   * Transfer between two stages at a layer boundary, within or between data centres.
   *
   * @param layer first layer after the boundary
   * @param from data centre of the sending stage
   * @param to data centre of the receiving stage
   */
  public record Hop(int layer, DataCentreId from, DataCentreId to) {}
}
