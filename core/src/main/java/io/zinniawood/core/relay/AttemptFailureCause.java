package io.zinniawood.core.relay;

/** How an attempt ended without a whole answer. */
public enum AttemptFailureCause {
  /** No byte of the request left this process: it certainly did not run. */
  NOT_SENT,
  /** The connection ended or failed after the request was sent. */
  CONNECTION_LOST,
  /** The bytes are no answer of the protocol, or belong to another request. */
  INVALID_ANSWER
}
