package io.zinniawood.core.entry.routing;

import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.LoadReport;

/**
 * Endpoint that can run a range of layers or a service.
 *
 * @param member the endpoint
 * @param layers its layers
 * @param weight its share of the work, above 0
 */
public record Stage(Member member, LayerRange layers, double weight) {
  /**
   * A reported piece of other entries' work counts half of an own one, as the report lags and the
   * work may have ended.
   */
  private static final double HINT_WEIGHT = 0.5;

  /** Returns the virtual time at which the endpoint would take one more piece of work. */
  double score(double earliestPass) {
    return Math.max(member.workload().pass(), earliestPass) + (1 + load()) / weight;
  }

  /** Returns the virtual time after the endpoint took one more piece of work. */
  public double nextPass(double earliestPass) {
    return Math.max(member.workload().pass(), earliestPass) + 1 / weight;
  }

  /** Returns the own work in flight and the reported work of others. */
  double load() {
    LoadReport report = member.announced().load();
    int own = member.workload().inFlight();
    return own + HINT_WEIGHT * Math.max(0, report.running() + report.queued() - own);
  }
}
