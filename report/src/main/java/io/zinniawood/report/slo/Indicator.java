package io.zinniawood.report.slo;

/** What an objective measures. */
public enum Indicator {
  /** Share of requests that were answered. */
  ANSWERED,
  /** Share of answers within the times of the objective. */
  LATENCY
}
