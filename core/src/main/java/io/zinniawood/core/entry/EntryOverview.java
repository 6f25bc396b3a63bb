package io.zinniawood.core.entry;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.limits.AccountUsage;
import io.zinniawood.core.entry.routing.FlowPlan;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.ModelId;

/**
 * Summary of an entry's state for reports, metrics and operators' pages.
 *
 * @param generation generation of the configuration in force
 * @param liveEntries number of live entries in the VM list
 * @param endpoints endpoints, sorted by id
 * @param maxTokensPerSecond maximum throughput by model in tokens per second, for models with a
 *     current flow plan
 * @param openRequests number of requests that have not been answered
 * @param openRequestsByAccount number of open requests by client account
 * @param waitingSessions number of sessions that wait for a replacement of a stage
 * @param leaseFencingNumber fencing number if this entry holds the controller lease
 * @param pendingOrders number of engine orders whose result has not arrived
 */
public record EntryOverview(
    Option<Generation> generation,
    int liveEntries,
    Vector<EndpointOverview> endpoints,
    Map<ModelId, Double> maxTokensPerSecond,
    int openRequests,
    Map<ClientAccountId, Integer> openRequestsByAccount,
    int waitingSessions,
    Option<FencingNumber> leaseFencingNumber,
    int pendingOrders) {

  /**
   * Returns the overview of a state.
   *
   * @param nowNanos present monotonic time in nanoseconds
   */
  public static EntryOverview of(EntryState state, long nowNanos) {
    Fleet fleet = state.fleet();
    return new EntryOverview(
        state.configuration().map(configuration -> configuration.generation()),
        fleet.liveEntries(),
        fleet
            .members()
            .values()
            .toVector()
            .map(member -> EndpointOverview.of(member, nowNanos))
            .sortBy(EndpointOverview::endpoint),
        fleet.plans().mapValues(FlowPlan::tokensPerSecond),
        state.openRequests(),
        state
            .usage()
            .accounts()
            .mapValues(AccountUsage::openRequests)
            .filterValues(open -> open > 0),
        state
            .sessions()
            .values()
            .count(session -> session.phase() == SessionPhase.WAITING_FOR_STAGE),
        state
            .controller()
            .lease()
            .heldRow()
            .filter(row -> nowNanos - state.controller().lease().validUntilNanos() < 0)
            .map(LeaseRow::fencingNumber),
        state.controller().pendingOrders().size());
  }
}
