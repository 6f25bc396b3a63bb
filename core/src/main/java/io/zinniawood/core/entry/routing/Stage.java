package io.zinniawood.core.entry.routing;

import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.model.LayerRange;

/**
 * Endpoint that can run a range of layers.
 *
 * @param member the endpoint
 * @param layers its layers
 * @param weight its share of the work, above 0
 */
public record Stage(Member member, LayerRange layers, double weight) {

  /** Returns the virtual time at which the endpoint would take one more piece of work. */
  double score() {
    return member.pass() + (member.inFlight() + 1) / weight;
  }
}
