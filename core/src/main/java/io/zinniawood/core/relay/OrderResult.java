package io.zinniawood.core.relay;

/** Result of a placement order or of a path change. The names appear in the decision log. */
public enum OrderResult {
  /** Completed or started. */
  ACCEPTED,
  /** Refused because it conflicts with the endpoint's state, or not sent. */
  REFUSED,
  /** Refused because the endpoint has seen a higher fencing number. */
  FENCED,
  /** Not answered: the order may take effect now, later or never. */
  UNKNOWN
}
