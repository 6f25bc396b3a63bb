package io.zinniawood.core.overflow;

import java.util.OptionalDouble;

/**
 * Condition of the link between two data centres.
 *
 * @param backlogMillis time until the link is idle, in milliseconds
 * @param configuredMegabitsPerSecond configured rate; 0 or less if it is unlimited
 * @param observedMegabitsPerSecond rate as observed from transfers; empty if none is known
 */
public record LinkCondition(
    double backlogMillis,
    double configuredMegabitsPerSecond,
    OptionalDouble observedMegabitsPerSecond) {
  /**
   * Maximum backlog of a link that new requests may use. Beyond it the first event would miss its
   * target latency, which is a few hundred milliseconds.
   */
  public static final double MAX_BACKLOG_MILLIS = 150;

  /** Share of the configured rate below which a link counts as slow. */
  private static final double MIN_RATE_SHARE = 0.5;

  /** Returns whether activations of new requests may cross the link. */
  public boolean usable() {
    boolean slow =
        configuredMegabitsPerSecond > 0
            && observedMegabitsPerSecond.isPresent()
            && observedMegabitsPerSecond.getAsDouble()
                < MIN_RATE_SHARE * configuredMegabitsPerSecond;
    return !slow && backlogMillis <= MAX_BACKLOG_MILLIS;
  }
}
