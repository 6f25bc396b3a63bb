package io.zinniawood.report.slo;

import io.vavr.control.Option;

/**
 * Service-level objective of one workload.
 *
 * @param name name
 * @param modelOrService model or service
 * @param answeredShare share of requests that must be answered, below 1
 * @param maxFirstTokenMillis time to the first token in milliseconds
 * @param maxTokenGapMillis time between tokens in milliseconds
 * @param latencyShare share of requests that must keep both times, below 1
 * @param maxUnknownPerDay at-most-once outcomes per day that may stay unknown
 * @param windowDays length of the budget window in days
 */
public record ObjectiveTarget(
    String name,
    String modelOrService,
    double answeredShare,
    Option<Long> maxFirstTokenMillis,
    Option<Long> maxTokenGapMillis,
    double latencyShare,
    int maxUnknownPerDay,
    int windowDays) {
  /** Checks that both shares leave a budget. */
  public ObjectiveTarget {
    if (!(answeredShare >= 0 && answeredShare < 1 && latencyShare >= 0 && latencyShare < 1)) {
      throw new IllegalArgumentException("shares must be at least 0 and below 1");
    }
  }

  /** Tells whether the objective limits the times of an answer. */
  public boolean limitsLatency() {
    return maxFirstTokenMillis.isDefined() || maxTokenGapMillis.isDefined();
  }
}
