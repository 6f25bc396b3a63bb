package io.zinniawood.core.relay;

/** Why an attempt ended without a complete answer. The names appear in the decision log. */
public enum AttemptFailureCause {
  /** No byte of the request was sent, so it certainly did not run. */
  NOT_SENT,
  /** The connection was closed or failed after the request was sent. */
  CONNECTION_LOST,
  /** The answer ended with its connection, and its endpoint gave no sign of life after that. */
  END_UNCONFIRMED,
  /**
   * The end of the answer came at the time limit that the endpoint was given, and is told by
   * nothing but itself. An endpoint that stops there may end its answer in good form.
   */
  TIME_LIMIT,
  /** The answer holds the head of another one, which has filled the rest of its length. */
  FOREIGN_HEAD,
  /** The answer violates the protocol or belongs to another request. */
  INVALID_ANSWER,
  /** The relay itself failed; the request must end at once. */
  INTERNAL_FAILURE
}
