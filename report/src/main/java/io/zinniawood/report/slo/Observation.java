package io.zinniawood.report.slo;

import io.vavr.control.Option;

/**
 * Result of one request for an objective.
 *
 * @param answer whether the request was answered
 * @param latency whether the answer kept the times
 * @param cause cause of a failure or a late answer, in a few words that many requests share
 */
public record Observation(Answer answer, Latency latency, Option<String> cause) {
  /** Tells whether a request was answered. */
  public enum Answer {
    /** The caller got the whole answer. */
    ANSWERED,
    /** The caller got a refusal or an error; the request did not run. */
    NOT_ANSWERED,
    /** The caller got no answer, and the request may have run. */
    OUTCOME_UNKNOWN
  }

  /** Tells whether an answer kept the times. */
  public enum Latency {
    /** Both times were kept. */
    IN_TIME,
    /** One of the times was exceeded. */
    LATE,
    /** The request has no times, or was not answered. */
    NOT_MEASURED
  }
}
