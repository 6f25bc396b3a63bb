package io.zinniawood.core.entry;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.limits.AccountUse;
import io.zinniawood.core.entry.routing.FlowPlan;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.ModelId;

/**
 * State of an entry as reports, metrics and operators' pages show it.
 *
 * @param generation generation of the configuration in force
 * @param liveEntries live entries in the VM list
 * @param endpoints endpoints in the order of their ids
 * @param boundTokensPerSecond maximum flow of each model whose plan is current
 * @param openRequests requests that have not been answered
 * @param openByAccount open requests by client account
 * @param waitingSessions sessions that wait for a replacement of a stage
 * @param leaseFencingNumber fencing number if this entry holds the controller lease
 * @param loadsInProgress engine orders without a result
 */
public record EntryOverview(
    Option<Generation> generation,
    int liveEntries,
    Vector<EndpointOverview> endpoints,
    Map<ModelId, Double> boundTokensPerSecond,
    int openRequests,
    Map<ClientAccountId, Integer> openByAccount,
    int waitingSessions,
    Option<FencingNumber> leaseFencingNumber,
    int loadsInProgress) {

  /**
   * Returns the overview of a state.
   *
   * @param state the state
   * @param nowNanos monotonic time in nanoseconds
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
        state.usage().accounts().mapValues(AccountUse::open).filterValues(open -> open > 0),
        state
            .sessions()
            .values()
            .count(session -> session.phase() == SessionPhase.WAITING_FOR_STAGE),
        state
            .controller()
            .lease()
            .mine()
            .filter(row -> nowNanos - state.controller().lease().validUntilNanos() < 0)
            .map(LeaseRow::fencingNumber),
        state.controller().orders().size());
  }
}
