package io.zinniawood.core.entry;

import io.zinniawood.core.entry.membership.Hashing;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.SessionId;

/**
 * Source of ids and random numbers that is part of the state.
 *
 * @param prefix hash of the entry and its seed; keeps ids of two entries or two runs apart
 * @param counter numbers drawn so far
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

  /** Returns a number in [0, 1). */
  double randomDouble() {
    return Hashing.toUnitInterval(Hashing.combine(prefix, counter));
  }

  private String format(String kind) {
    return kind + "-" + Long.toHexString(prefix) + "-" + counter;
  }
}
