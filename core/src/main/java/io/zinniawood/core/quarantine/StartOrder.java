package io.zinniawood.core.quarantine;

/** What is known of the order in which an endpoint begins to run its requests. */
public enum StartOrder {
  /** In the order of their arrival, so the request that waited longest is the next to begin. */
  ARRIVAL,
  /** Several run at a time, so the wait tells nothing. */
  UNKNOWN
}
