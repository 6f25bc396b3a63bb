package io.zinniawood.core.waiting;

/** What the forecast decides about a request for which no capacity is free. */
public enum WaitVerdict {
  /** Too few requests have ended for a forecast. */
  UNKNOWN,
  /** The request can be sent in time for its target latency. */
  IN_TIME,
  /** The request can be sent within its time limit only, and the queue is getting shorter. */
  LATE,
  /** The request cannot be sent in time. */
  REFUSE
}
