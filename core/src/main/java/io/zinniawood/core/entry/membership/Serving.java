package io.zinniawood.core.entry.membership;

import io.vavr.control.Option;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.ServingState;

/**
 * What an agent announced in its present incarnation.
 *
 * @param state serving state
 * @param capability what the endpoint serves
 * @param load last load report
 * @param sinceNanos monotonic time since which it serves, in nanoseconds
 */
public record Serving(
    ServingState state, Option<Capability> capability, LoadReport load, long sinceNanos) {
  /** Nothing was announced. */
  public static final Serving NOTHING =
      new Serving(ServingState.STARTING, Option.none(), LoadReport.idle(0), 0);

  /**
   * Returns the state after a status. A leaving endpoint stays leaving, as an earlier status may
   * arrive late.
   */
  public Serving announced(
      ServingState next, Capability nextCapability, LoadReport report, long nowNanos) {
    ServingState effective = state == ServingState.LEAVING ? state : next;
    boolean starts = effective == ServingState.SERVING && state != ServingState.SERVING;
    return new Serving(
        effective, Option.some(nextCapability), report, starts ? nowNanos : sinceNanos);
  }

  /** Returns the state after a notice that the endpoint leaves. */
  public Serving leaving() {
    return new Serving(ServingState.LEAVING, capability, load, sinceNanos);
  }

  /** Returns the state after a load report. */
  public Serving loaded(LoadReport report) {
    return new Serving(state, capability, report, sinceNanos);
  }
}
