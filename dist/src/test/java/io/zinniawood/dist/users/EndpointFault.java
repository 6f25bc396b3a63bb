package io.zinniawood.dist.users;

/** Faults of the answers of a {@link FaultyEndpoint}. */
public enum EndpointFault {
  /** Repeats an answer on its connection. */
  STUTTER,
  /** Sends neither a length nor chunks; the answer ends with its connection. */
  UNFRAMED,
  /** Ends a stream in good form before its first event. */
  EMPTY_STREAM,
  /** Resets the connection or closes it in the middle of an answer. */
  BREAK_OFF,
  /** Answers with a failure. */
  FAIL,
  /** Pauses in the middle of an answer. */
  PAUSE
}
