package io.zinniawood.core.entry;

import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Hashing;
import io.zinniawood.core.id.SessionId;

/**
 * Deterministic generator of ids and random numbers, kept in the reducer's state.
 *
 * @param prefix hash of the entry and its seed; makes the ids of two entries or two runs differ
 * @param counter number of values drawn so far
 */
record IdGenerator(long prefix, long counter) {

  IdGenerator next() {
    return new IdGenerator(prefix, counter + 1);
  }

  AttemptId attemptId() {
    return new AttemptId(format("a"));
  }

  SessionId sessionId() {
    return new SessionId(format("s"));
  }

  /** Returns a random number in [0, 1). */
  double randomDouble() {
    return Hashing.toUnitInterval(Hashing.combine(prefix, counter));
  }

  private String format(String kind) {
    return kind + "-" + Long.toHexString(prefix) + "-" + counter;
  }
}
