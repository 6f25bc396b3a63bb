package io.zinniawood.core.relay;

/**
 * Modes of the decisions on scarce capacity; see {@link SchedulingPart}.
 *
 * @param overflowCostMillisPerGigabyte cost of sending a gigabyte to another data centre, as the
 *     delay in milliseconds that it is worth; 0 or more
 */
public record SchedulingSettings(
    Mode loadSharing,
    Mode waitForecast,
    Mode urgencyOrder,
    Mode paceLimit,
    Mode overflow,
    Mode processorGuard,
    double overflowCostMillisPerGigabyte) {
  /** All parts follow the routes and engines of a service, and bytes cost nothing. */
  public static final SchedulingSettings AUTO = all(Mode.AUTO);

  /** When a part is in force. */
  public enum Mode {
    /** For the services whose routes and engines call for it. */
    AUTO,
    /** For all services. */
    ON,
    /** For no service. */
    OFF
  }

  /** Returns settings with one mode for all parts, where bytes cost nothing. */
  public static SchedulingSettings all(Mode mode) {
    return new SchedulingSettings(mode, mode, mode, mode, mode, mode, 0);
  }

  /** Returns the mode of a part. */
  public Mode mode(SchedulingPart part) {
    return switch (part) {
      case LOAD_SHARING -> loadSharing;
      case WAIT_FORECAST -> waitForecast;
      case URGENCY_ORDER -> urgencyOrder;
      case PACE_LIMIT -> paceLimit;
      case OVERFLOW -> overflow;
      case PROCESSOR_GUARD -> processorGuard;
    };
  }
}
