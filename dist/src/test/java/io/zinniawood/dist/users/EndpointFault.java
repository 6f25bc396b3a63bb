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
  PAUSE,
  /**
   * Breaks an answer off within its frame, and repeats it on the connection. A repetition that
   * comes alone is left out, as nothing on the wire tells it from a whole answer.
   */
  CUT_THEN_REPEAT,
  /** Works longer than short time limits, and stops at them. */
  TIME_LIMIT,
  /** Answers that a request was not executed, and then with a success. */
  LATE_SUCCESS,
  /** Runs a request and answers with a status line that HTTP does not know. */
  UNKNOWN_STATUS
}
