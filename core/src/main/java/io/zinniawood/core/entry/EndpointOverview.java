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
 * Endpoint as reports and metrics show it.
 *
 * @param endpoint id
 * @param pool pool
 * @param dataCentre data centre
 * @param condition condition, the first one that applies
 * @param incarnation incarnation of the last connection
 * @param capability what the endpoint serves
 * @param inFlight sessions and calls of this entry in flight
 * @param limit present limit of the work in flight
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
        member.workload().limit().whole(),
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

  /** Condition of an endpoint. */
  public enum Condition {
    /** It announced that it leaves, or the VM list says so. */
    LEAVING,
    /** No connection can be opened. */
    LOST,
    /** It is not in this entry's subset, or a connection is being opened. */
    NOT_CONNECTED,
    /** It is connected and not ready. */
    STARTING,
    /** It failed repeatedly and gets no new work for a while. */
    EJECTED,
    /** It takes work. */
    SERVING
  }
}
