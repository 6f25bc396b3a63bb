package io.zinniawood.core.entry.membership;

import io.vavr.control.Option;
import io.zinniawood.core.entry.limits.ConcurrencyLimit;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.ServingState;

/**
 * Endpoint as an entry sees it.
 *
 * @param endpoint id
 * @param placement place and listing
 * @param link state of the connection
 * @param incarnation incarnation of the last connection
 * @param connectFailures connections in a row that could not be opened
 * @param state state that this incarnation announced
 * @param capability what the endpoint serves
 * @param load last load report
 * @param servingSinceNanos monotonic time since which this incarnation serves, in nanoseconds
 * @param health failures and ejection
 * @param inFlight work of this entry in flight
 * @param limit adaptive limit of the work in flight
 * @param pass virtual time of the smooth weighted selection
 */
public record Member(
    EndpointId endpoint,
    Placement placement,
    Link link,
    Option<Incarnation> incarnation,
    int connectFailures,
    ServingState state,
    Option<Capability> capability,
    LoadReport load,
    long servingSinceNanos,
    Health health,
    int inFlight,
    ConcurrencyLimit limit,
    double pass) {

  /** Returns an endpoint to which no connection exists. */
  public static Member unconnected(EndpointId endpoint, Placement placement) {
    return new Member(
        endpoint,
        placement,
        Link.IDLE,
        Option.none(),
        0,
        ServingState.STARTING,
        Option.none(),
        LoadReport.idle(0),
        0,
        Health.GOOD,
        0,
        ConcurrencyLimit.initial(1),
        0);
  }

  /** Tells whether new work may be sent to the endpoint, apart from limits and ejection. */
  public boolean takesWork() {
    return link == Link.CONNECTED && state == ServingState.SERVING && !placement.listedLeaving();
  }

  /** Tells whether the endpoint is connected in the given incarnation. */
  public boolean connectedAs(Incarnation wanted) {
    return link == Link.CONNECTED && incarnation.contains(wanted);
  }

  /** Tells whether the endpoint announced that it leaves or the VM list says so. */
  public boolean leaving() {
    return state == ServingState.LEAVING || placement.listedLeaving();
  }

  /** Returns this member with another placement. */
  public Member withPlacement(Placement changed) {
    return new Member(
        endpoint,
        changed,
        link,
        incarnation,
        connectFailures,
        state,
        capability,
        load,
        servingSinceNanos,
        health,
        inFlight,
        limit,
        pass);
  }

  /** Returns this member with another connection state. */
  public Member withLink(Link changed, int failures) {
    return new Member(
        endpoint,
        placement,
        changed,
        incarnation,
        failures,
        state,
        capability,
        load,
        servingSinceNanos,
        health,
        inFlight,
        limit,
        pass);
  }

  /**
   * Returns this member connected in an incarnation; a new incarnation forgets the state, health
   * and limit of the one before.
   */
  public Member connected(Incarnation current, int firstLimit) {
    if (incarnation.contains(current)) {
      return withLink(Link.CONNECTED, 0);
    }
    return new Member(
        endpoint,
        placement,
        Link.CONNECTED,
        Option.some(current),
        0,
        ServingState.STARTING,
        Option.none(),
        load,
        0,
        Health.GOOD,
        inFlight,
        ConcurrencyLimit.initial(firstLimit),
        pass);
  }

  /**
   * Returns this member with an announced status. Within one incarnation a leaving endpoint stays
   * leaving, as an earlier status may arrive late.
   */
  public Member withStatus(
      ServingState announced, Capability announcedCapability, LoadReport report, long nowNanos) {
    ServingState effective = state == ServingState.LEAVING ? state : announced;
    boolean starts = effective == ServingState.SERVING && state != ServingState.SERVING;
    return new Member(
        endpoint,
        placement,
        link,
        incarnation,
        connectFailures,
        effective,
        Option.some(announcedCapability),
        report,
        starts ? nowNanos : servingSinceNanos,
        health,
        inFlight,
        limit,
        pass);
  }

  /** Returns this member with another load report. */
  public Member withLoad(LoadReport report) {
    return new Member(
        endpoint,
        placement,
        link,
        incarnation,
        connectFailures,
        state,
        capability,
        report,
        servingSinceNanos,
        health,
        inFlight,
        limit,
        pass);
  }

  /** Returns this member with other health. */
  public Member withHealth(Health changed) {
    return new Member(
        endpoint,
        placement,
        link,
        incarnation,
        connectFailures,
        state,
        capability,
        load,
        servingSinceNanos,
        changed,
        inFlight,
        limit,
        pass);
  }

  /** Returns this member with another limit. */
  public Member withLimit(ConcurrencyLimit changed) {
    return new Member(
        endpoint,
        placement,
        link,
        incarnation,
        connectFailures,
        state,
        capability,
        load,
        servingSinceNanos,
        health,
        inFlight,
        changed,
        pass);
  }

  /** Returns this member with more work in flight and a later virtual time. */
  public Member taken(double nextPass) {
    return new Member(
        endpoint,
        placement,
        link,
        incarnation,
        connectFailures,
        state,
        capability,
        load,
        servingSinceNanos,
        health,
        inFlight + 1,
        limit,
        nextPass);
  }

  /** Returns this member with one piece of work less in flight. */
  public Member released() {
    return new Member(
        endpoint,
        placement,
        link,
        incarnation,
        connectFailures,
        state,
        capability,
        load,
        servingSinceNanos,
        health,
        Math.max(0, inFlight - 1),
        limit,
        pass);
  }
}
