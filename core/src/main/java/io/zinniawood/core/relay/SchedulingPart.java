package io.zinniawood.core.relay;

/** Decisions on scarce capacity that the settings of a relay switch on or off, one by one. */
public enum SchedulingPart {
  /** Relays tell each other what they have in flight. */
  LOAD_SHARING,
  /** Requests are refused by a forecast of their wait. */
  WAIT_FORECAST,
  /** Waiting requests are ordered by urgency and by client account. */
  URGENCY_ORDER,
  /** No endpoint takes a stream that would slow its streams down beyond their targets. */
  PACE_LIMIT,
  /** The share of requests that leave a data centre is decided by room, links and cost. */
  OVERFLOW,
  /** A relay that lacks processor time refuses new requests. */
  PROCESSOR_GUARD
}
