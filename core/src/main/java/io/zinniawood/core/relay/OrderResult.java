package io.zinniawood.core.relay;

/** What became of an order or of a change of path. */
public enum OrderResult {
  /** Carried out or begun. */
  ACCEPTED,
  /** Refused, as it does not fit the endpoint's state. */
  REFUSED,
  /** No answer: it may be carried out now, later or never. */
  UNKNOWN
}
