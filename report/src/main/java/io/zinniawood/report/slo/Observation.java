package io.zinniawood.report.slo;

import io.vavr.control.Option;

/**
 * Result of one request for an objective.
 *
 * @param answer whether the request was answered
 * @param latency whether the answer was within the latency limits
 * @param cause cause of a failure or a late answer, a short phrase that many requests share
 */
public record Observation(Answer answer, Latency latency, Option<String> cause) {
  /** Whether a request was answered. */
  public enum Answer {
    /** The caller received the complete answer. */
    ANSWERED,
    /** The caller received a refusal or an error, and the request did not run. */
    NOT_ANSWERED,
    /** The caller received no answer, and the request may have run. */
    OUTCOME_UNKNOWN
  }

  /** Whether an answer was within the latency limits. */
  public enum Latency {
    /** All latency limits were kept. */
    IN_TIME,
    /** At least one latency limit was exceeded. */
    LATE,
    /** The objective has no latency limits, or the request was not answered. */
    NOT_MEASURED
  }
}
