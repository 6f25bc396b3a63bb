package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LoadReport;

/**
 * Summary of an endpoint for reports and metrics.
 *
 * @param condition first condition, in the order of the enum, that applies
 * @param incarnation incarnation of the last connection
 * @param capability what the endpoint serves
 * @param inFlight sessions and calls that this entry has in flight at the endpoint
 * @param limit present limit of the sessions and calls in flight
 * @param load last load report
 */
public record EndpointOverview(
    EndpointId endpoint,
    PoolId pool,
    DataCentreId dataCentre,
    Condition condition,
    Option<Incarnation> incarnation,
    Option<Capability> capability,
    int inFlight,
    int limit,
    LoadReport load) {

  /** Returns the overview of an endpoint at the given monotonic time. */
  static EndpointOverview of(Member member, long nowNanos) {
    return new EndpointOverview(
        member.endpoint(),
        member.placement().pool(),
        member.placement().dataCentre(),
        condition(member, nowNanos),
        member.connection().incarnation(),
        member.announced().capability(),
        member.workload().inFlight(),
        member.workload().limit().toInt(),
        member.announced().load());
  }

  private static Condition condition(Member member, long nowNanos) {
    if (member.leaving()) {
      return Condition.LEAVING;
    }
    if (!member.connected()) {
      return member.connection().consecutiveFailures() > 0
          ? Condition.LOST
          : Condition.NOT_CONNECTED;
    }
    if (!member.acceptsWork()) {
      return Condition.STARTING;
    }
    return member.health().ejected(nowNanos) ? Condition.EJECTED : Condition.SERVING;
  }

  /** Condition of an endpoint, in the order in which the conditions are tested. */
  public enum Condition {
    /** Its agent announced that it leaves, or the VM list marks it as leaving. */
    LEAVING,
    /** The last attempt to connect failed, or the connection ended at once. */
    LOST,
    /** It is not in this entry's subset, or a connection is being opened. */
    NOT_CONNECTED,
    /** It is connected and does not accept work yet. */
    STARTING,
    /** It failed repeatedly and gets no new work until the ejection ends. */
    EJECTED,
    /** It accepts work. */
    SERVING
  }
}
