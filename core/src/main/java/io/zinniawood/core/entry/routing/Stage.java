package io.zinniawood.core.entry.routing;

import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.LoadReport;

/**
 * Candidate endpoint for a range of layers or for a service call.
 *
 * @param weight relative share of the work, greater than 0
 */
public record Stage(Member member, LayerRange layers, double weight) {
  /**
   * Weight of other entries' work from a load report, relative to own work. It is below 1 because
   * reports lag and the work may have ended.
   */
  private static final double REPORTED_LOAD_WEIGHT = 0.5;

  /** Returns the virtual time after one more request, corrected by the load; lower is better. */
  double score(double minVirtualTime) {
    return Math.max(member.workload().virtualTime(), minVirtualTime) + (1 + load()) / weight;
  }

  /** Returns the virtual time of the endpoint after one more request. */
  public double virtualTimeAfterNext(double minVirtualTime) {
    return Math.max(member.workload().virtualTime(), minVirtualTime) + 1 / weight;
  }

  /** Returns this entry's work in flight plus the weighted work reported for other entries. */
  double load() {
    LoadReport report = member.announced().load();
    int own = member.workload().inFlight();
    return own + REPORTED_LOAD_WEIGHT * Math.max(0, report.running() + report.queued() - own);
  }
}
