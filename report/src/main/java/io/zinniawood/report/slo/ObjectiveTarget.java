package io.zinniawood.report.slo;

import io.vavr.control.Option;

/**
 * Service-level objective of one workload.
 *
 * @param name name of the objective
 * @param modelOrService model or service to which the objective applies
 * @param answeredShare share of requests that must be answered, below 1
 * @param maxFirstTokenMillis maximum time to the first token in milliseconds, none if not limited
 * @param maxTokenGapMillis maximum time between tokens in milliseconds, none if not limited
 * @param latencyShare share of answers that must be within both latency limits, below 1
 * @param maxUnknownPerDay accepted number of requests of unknown outcome per day
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
  /** Rejects shares that leave no error budget. */
  public ObjectiveTarget {
    if (!(answeredShare >= 0 && answeredShare < 1 && latencyShare >= 0 && latencyShare < 1)) {
      throw new IllegalArgumentException(
          "answeredShare and latencyShare must be at least 0 and below 1, but are %s and %s"
              .formatted(answeredShare, latencyShare));
    }
  }

  /** Returns whether the objective limits the latency of answers. */
  public boolean limitsLatency() {
    return maxFirstTokenMillis.isDefined() || maxTokenGapMillis.isDefined();
  }
}
