package io.zinniawood.core.entry.membership;

import io.vavr.control.Option;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.ServingState;

/**
 * State that an agent announced in its present incarnation.
 *
 * @param capability model stage or service that the endpoint serves, none before the first status
 * @param load last load report
 * @param servingSinceNanos monotonic time at which the endpoint began to serve, in nanoseconds
 */
public record AnnouncedState(
    ServingState state, Option<Capability> capability, LoadReport load, long servingSinceNanos) {
  /** State before the first status. */
  public static final AnnouncedState NONE =
      new AnnouncedState(ServingState.STARTING, Option.none(), LoadReport.idle(0), 0);

  /**
   * Returns the state after a status message. A leaving endpoint stays leaving, as an earlier
   * status may arrive late.
   */
  public AnnouncedState withStatus(
      ServingState next, Capability nextCapability, LoadReport report, long nowNanos) {
    ServingState effective = state == ServingState.LEAVING ? state : next;
    boolean starts = effective == ServingState.SERVING && state != ServingState.SERVING;
    return new AnnouncedState(
        effective, Option.some(nextCapability), report, starts ? nowNanos : servingSinceNanos);
  }

  /** Returns the state after a notice that the endpoint leaves. */
  public AnnouncedState asLeaving() {
    return new AnnouncedState(ServingState.LEAVING, capability, load, servingSinceNanos);
  }

  /** Returns the state after a load report. */
  public AnnouncedState withLoad(LoadReport report) {
    return new AnnouncedState(state, capability, report, servingSinceNanos);
  }
}
