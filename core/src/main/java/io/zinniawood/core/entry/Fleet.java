package io.zinniawood.core.entry;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.entry.routing.EndpointLink;
import io.zinniawood.core.entry.routing.FlowPlan;
import io.zinniawood.core.entry.routing.TokenGapEstimates;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.ModelId;

/**
 * This entry's view of the endpoints and the other entries.
 *
 * @param listVersion version of the VM list, 0 before the first one
 * @param liveEntries number of live entries in the VM list, at least 1
 * @param members endpoints by id
 * @param degradedLinks links that failed recently, with the monotonic time in nanoseconds until
 *     which they are avoided
 * @param plans flow plan of each model; dropped when an endpoint or link that it may use changes
 * @param tokenGaps estimated time between tokens by inbound link of an endpoint
 */
record Fleet(
    long listVersion,
    int liveEntries,
    Map<EndpointId, Member> members,
    Map<EndpointLink, Long> degradedLinks,
    Map<ModelId, FlowPlan> plans,
    TokenGapEstimates tokenGaps) {

  static Fleet empty() {
    return new Fleet(
        0, 1, HashMap.empty(), HashMap.empty(), HashMap.empty(), TokenGapEstimates.NONE);
  }

  Option<Member> member(EndpointId endpoint) {
    return members.get(endpoint);
  }

  /** Tells whether the endpoint is connected in the given incarnation. */
  boolean connectedAs(EndpointId endpoint, Incarnation incarnation) {
    return members.get(endpoint).exists(member -> member.connectedAs(incarnation));
  }

  /**
   * Returns this fleet with an endpoint replaced. Plans are kept if the endpoint serves the same
   * and accepts work as before.
   */
  Fleet with(Member member) {
    boolean plansStillValid =
        members
            .get(member.endpoint())
            .exists(
                known ->
                    known.acceptsWork() == member.acceptsWork()
                        && known.announced().capability().equals(member.announced().capability()));
    return new Fleet(
        listVersion,
        liveEntries,
        members.put(member.endpoint(), member),
        degradedLinks,
        plansStillValid ? plans : HashMap.empty(),
        tokenGaps);
  }

  /** Returns this fleet without an endpoint and its token gap estimates. */
  Fleet without(EndpointId endpoint) {
    return new Fleet(
        listVersion,
        liveEntries,
        members.remove(endpoint),
        degradedLinks,
        HashMap.empty(),
        tokenGaps.withoutEndpoint(endpoint));
  }

  /** Returns this fleet with a link that is avoided until the given time. */
  Fleet withDegradedLink(EndpointLink link, long untilNanos) {
    return new Fleet(
        listVersion,
        liveEntries,
        members,
        degradedLinks.put(link, untilNanos),
        HashMap.empty(),
        tokenGaps);
  }

  /** Returns this fleet without the degraded links whose time has passed. */
  Fleet withoutRecoveredLinks(long nowNanos) {
    Map<EndpointLink, Long> remaining = degradedLinks.filterValues(until -> until - nowNanos > 0);
    return remaining.size() == degradedLinks.size()
        ? this
        : new Fleet(listVersion, liveEntries, members, remaining, HashMap.empty(), tokenGaps);
  }

  Fleet withPlan(ModelId model, FlowPlan plan) {
    return new Fleet(
        listVersion, liveEntries, members, degradedLinks, plans.put(model, plan), tokenGaps);
  }

  Fleet withTokenGaps(TokenGapEstimates changed) {
    return new Fleet(listVersion, liveEntries, members, degradedLinks, plans, changed);
  }

  /** Returns this fleet without plans, so that each is computed again when it is next used. */
  Fleet withoutPlans() {
    return new Fleet(listVersion, liveEntries, members, degradedLinks, HashMap.empty(), tokenGaps);
  }

  /** Returns this fleet with the entries and placements of a VM list. */
  Fleet withVmList(long version, int entries, Map<EndpointId, Member> listedMembers) {
    return new Fleet(
        version, Math.max(1, entries), listedMembers, degradedLinks, HashMap.empty(), tokenGaps);
  }
}
