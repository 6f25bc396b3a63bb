package io.zinniawood.report.slo;

/** Service-level indicator of an objective. */
public enum Indicator {
  /** Share of requests that were answered. */
  ANSWERED,
  /** Share of answers within the latency limits of the objective. */
  LATENCY
}
