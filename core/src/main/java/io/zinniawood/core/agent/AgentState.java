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
 * @param self fixed properties of this run
 * @param seed state of the random sequence that spreads retries
 * @param serving serving state
 * @param capability what the endpoint serves, none until it reported for the first time
 * @param announcedLoad load that the last status carried
 * @param peers connected processes
 * @param missedStatuses status requests in a row that the endpoint did not answer
 * @param gate plain service calls
 * @param stages stage sessions
 * @param orders engine orders
 */
public record AgentState(
    AgentSelf self,
    long seed,
    ServingState serving,
    Option<Capability> capability,
    LoadReport announcedLoad,
    Map<PeerId, PeerRole> peers,
    int missedStatuses,
    GateState gate,
    StageState stages,
    OrderState orders) {
  /** Returns the state of an agent that starts. */
  public static AgentState initial(AgentSelf self, long seed) {
    return new AgentState(
        self,
        seed,
        ServingState.STARTING,
        Option.none(),
        LoadReport.idle(self.maxConcurrentCalls()),
        HashMap.empty(),
        0,
        GateState.initial(),
        StageState.initial(),
        OrderState.initial());
  }

  boolean leaving() {
    return serving == ServingState.LEAVING;
  }

  AgentState withSeed(long value) {
    return new AgentState(
        self,
        value,
        serving,
        capability,
        announcedLoad,
        peers,
        missedStatuses,
        gate,
        stages,
        orders);
  }

  AgentState withServing(ServingState value) {
    return new AgentState(
        self, seed, value, capability, announcedLoad, peers, missedStatuses, gate, stages, orders);
  }

  AgentState withCapability(Capability value) {
    return new AgentState(
        self,
        seed,
        serving,
        Option.some(value),
        announcedLoad,
        peers,
        missedStatuses,
        gate,
        stages,
        orders);
  }

  AgentState withAnnouncedLoad(LoadReport value) {
    return new AgentState(
        self, seed, serving, capability, value, peers, missedStatuses, gate, stages, orders);
  }

  AgentState withPeers(Map<PeerId, PeerRole> value) {
    return new AgentState(
        self,
        seed,
        serving,
        capability,
        announcedLoad,
        value,
        missedStatuses,
        gate,
        stages,
        orders);
  }

  AgentState withMissedStatuses(int value) {
    return new AgentState(
        self, seed, serving, capability, announcedLoad, peers, value, gate, stages, orders);
  }

  AgentState withGate(GateState value) {
    return new AgentState(
        self,
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
        self, seed, serving, capability, announcedLoad, peers, missedStatuses, gate, value, orders);
  }

  AgentState withOrders(OrderState value) {
    return new AgentState(
        self, seed, serving, capability, announcedLoad, peers, missedStatuses, gate, stages, value);
  }
}
