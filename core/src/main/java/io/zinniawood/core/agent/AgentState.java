package io.zinniawood.core.agent;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.ServingState;

/**
 * State of the agent role.
 *
 * @param properties fixed properties of this run
 * @param seed state of the random number generator that adds jitter to retry delays
 * @param serving announced serving state
 * @param capability what the endpoint serves, empty until its first status report
 * @param announcedLoad load in the last announced status
 * @param peers connected processes and their roles
 * @param missedStatuses consecutive status requests that the endpoint did not answer
 * @param calls calls of the plain service
 * @param stages stage sessions
 * @param orders engine orders
 */
public record AgentState(
    AgentProperties properties,
    long seed,
    ServingState serving,
    Option<Capability> capability,
    LoadReport announcedLoad,
    Map<PeerId, PeerRole> peers,
    int missedStatuses,
    CallState calls,
    StageState stages,
    OrderState orders) {
  /** Returns the state of a starting agent. */
  public static AgentState initial(AgentProperties properties, long seed) {
    return new AgentState(
        properties,
        seed,
        ServingState.STARTING,
        Option.none(),
        LoadReport.idle(properties.maxConcurrentCalls()),
        HashMap.empty(),
        0,
        CallState.initial(),
        StageState.initial(),
        OrderState.initial());
  }

  boolean leaving() {
    return serving == ServingState.LEAVING;
  }

  AgentState withSeed(long value) {
    return new AgentState(
        properties,
        value,
        serving,
        capability,
        announcedLoad,
        peers,
        missedStatuses,
        calls,
        stages,
        orders);
  }

  AgentState withServing(ServingState value) {
    return new AgentState(
        properties,
        seed,
        value,
        capability,
        announcedLoad,
        peers,
        missedStatuses,
        calls,
        stages,
        orders);
  }

  AgentState withCapability(Capability value) {
    return new AgentState(
        properties,
        seed,
        serving,
        Option.some(value),
        announcedLoad,
        peers,
        missedStatuses,
        calls,
        stages,
        orders);
  }

  AgentState withAnnouncedLoad(LoadReport value) {
    return new AgentState(
        properties, seed, serving, capability, value, peers, missedStatuses, calls, stages, orders);
  }

  AgentState withPeers(Map<PeerId, PeerRole> value) {
    return new AgentState(
        properties,
        seed,
        serving,
        capability,
        announcedLoad,
        value,
        missedStatuses,
        calls,
        stages,
        orders);
  }

  AgentState withMissedStatuses(int value) {
    return new AgentState(
        properties, seed, serving, capability, announcedLoad, peers, value, calls, stages, orders);
  }

  AgentState withCalls(CallState value) {
    return new AgentState(
        properties,
        seed,
        serving,
        capability,
        announcedLoad,
        peers,
        missedStatuses,
        value,
        stages,
        orders);
  }

  AgentState withStages(StageState value) {
    return new AgentState(
        properties,
        seed,
        serving,
        capability,
        announcedLoad,
        peers,
        missedStatuses,
        calls,
        value,
        orders);
  }

  AgentState withOrders(OrderState value) {
    return new AgentState(
        properties,
        seed,
        serving,
        capability,
        announcedLoad,
        peers,
        missedStatuses,
        calls,
        stages,
        value);
  }
}
