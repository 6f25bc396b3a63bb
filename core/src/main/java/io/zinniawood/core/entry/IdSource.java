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
record IdSource(long prefix, long counter) {

  IdSource next() {
    return new IdSource(prefix, counter + 1);
  }

  AttemptId attempt() {
    return new AttemptId(text("a"));
  }

  SessionId session() {
    return new SessionId(text("s"));
  }

  /** Returns a number in [0, 1). */
  double unit() {
    return Hashing.unit(Hashing.combine(prefix, counter));
  }

  private String text(String kind) {
    return kind + "-" + Long.toHexString(prefix) + "-" + counter;
  }
}
