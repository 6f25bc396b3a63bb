package io.zinniawood.core.entry;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;

/**
 * Endpoints and entries as this entry sees them.
 *
 * @param listVersion version of the VM list, 0 before the first one
 * @param liveEntries live entries in the VM list
 * @param members endpoints by id
 */
record Fleet(long listVersion, int liveEntries, Map<EndpointId, Member> members) {

  static Fleet empty() {
    return new Fleet(0, 1, HashMap.empty());
  }

  Option<Member> member(EndpointId endpoint) {
    return members.get(endpoint);
  }

  /** Tells whether the endpoint is connected in the given incarnation. */
  boolean connectedAs(EndpointId endpoint, Incarnation incarnation) {
    return members.get(endpoint).exists(member -> member.connectedAs(incarnation));
  }

  Fleet with(Member member) {
    return new Fleet(listVersion, liveEntries, members.put(member.endpoint(), member));
  }
}
