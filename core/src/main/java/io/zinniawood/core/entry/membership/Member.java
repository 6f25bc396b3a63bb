package io.zinniawood.core.entry.membership;

import io.zinniawood.core.entry.limits.ConcurrencyLimit;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.ServingState;

/**
 * State of one endpoint in an entry's view.
 *
 * @param placement address, location and presence in the VM list
 * @param connection connection to its agent
 * @param announced state that its agent announced
 * @param workload work that this entry has in flight there
 * @param health recent failures and ejection
 */
public record Member(
    EndpointId endpoint,
    Placement placement,
    Connection connection,
    AnnouncedState announced,
    Workload workload,
    Health health) {

  /** Returns an endpoint to which no connection exists. */
  public static Member unconnected(EndpointId endpoint, Placement placement) {
    return new Member(
        endpoint, placement, Connection.NONE, AnnouncedState.NONE, Workload.NONE, Health.GOOD);
  }

  /** Tells whether the endpoint is connected. */
  public boolean connected() {
    return connection.state() == ConnectionState.CONNECTED;
  }

  /** Tells whether new work may be sent to the endpoint, apart from limits and ejection. */
  public boolean acceptsWork() {
    return connected() && announced.state() == ServingState.SERVING && !placement.listedLeaving();
  }

  /** Tells whether the endpoint is connected in the given incarnation. */
  public boolean connectedAs(Incarnation wanted) {
    return connected() && connection.incarnation().contains(wanted);
  }

  /** Tells whether the endpoint is connected in another incarnation than the given one. */
  public boolean restartedSince(Incarnation earlier) {
    return connected() && !connection.incarnation().contains(earlier);
  }

  /**
   * Tells whether the agent announced that the endpoint leaves, or the VM list marks it as leaving.
   */
  public boolean leaving() {
    return announced.state() == ServingState.LEAVING || placement.listedLeaving();
  }

  /** Returns this member with another placement. */
  public Member with(Placement changed) {
    return new Member(endpoint, changed, connection, announced, workload, health);
  }

  /** Returns this member with another connection state. */
  public Member with(Connection changed) {
    return new Member(endpoint, placement, changed, announced, workload, health);
  }

  /** Returns this member with another announced state. */
  public Member with(AnnouncedState changed) {
    return new Member(endpoint, placement, connection, changed, workload, health);
  }

  /** Returns this member with another workload. */
  public Member with(Workload changed) {
    return new Member(endpoint, placement, connection, announced, changed, health);
  }

  /** Returns this member with other health. */
  public Member with(Health changed) {
    return new Member(endpoint, placement, connection, announced, workload, changed);
  }

  /**
   * Returns this member with an open connection to an incarnation. A new incarnation resets the
   * announced state, the health and the limit; work in flight stays counted.
   */
  public Member withOpenConnection(Incarnation current, Capability capability, long nowNanos) {
    Connection opened = connection.opened(current, nowNanos);
    if (connection.incarnation().contains(current)) {
      return with(opened);
    }
    ConcurrencyLimit limit = ConcurrencyLimit.initial(nominalLimit(capability));
    return new Member(
        endpoint, placement, opened, AnnouncedState.NONE, workload.withLimit(limit), Health.GOOD);
  }

  /** Returns the maximum number of concurrent sessions or calls of a capability. */
  public static int nominalLimit(Capability capability) {
    if (capability instanceof Capability.ModelStage stage) {
      return stage.maxSessions();
    }
    return ((Capability.PlainService) capability).maxConcurrent();
  }
}
