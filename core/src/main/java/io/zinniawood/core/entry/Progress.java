package io.zinniawood.core.entry;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.Epoch;

/**
 * Tokens of a session that were delivered to the caller.
 *
 * @param tokens texts by position; also the inputs that the first stage may need again
 * @param arrivedNanos monotonic time of the request's arrival in nanoseconds
 * @param firstTokenNanos monotonic time of the first token in nanoseconds, 0 before it
 * @param lastTokenNanos monotonic time of the last token in nanoseconds
 * @param movedNanos monotonic time of the last sign of progress in nanoseconds
 * @param tokenEpoch epoch of the last token, 0 before the first one
 * @param reached sum of the stages' next positions when they were last probed
 * @param slowestGapNanos longest time between two tokens in nanoseconds
 */
record Progress(
    Vector<String> tokens,
    long arrivedNanos,
    long firstTokenNanos,
    long lastTokenNanos,
    long movedNanos,
    long tokenEpoch,
    int reached,
    long slowestGapNanos) {

  static Progress none(long nowNanos) {
    return new Progress(Vector.empty(), nowNanos, 0, nowNanos, nowNanos, 0, 0, 0);
  }

  /** Returns the position whose token comes next. */
  int nextPosition() {
    return tokens.length();
  }

  /** Returns this progress after the next token was sent to the caller. */
  Progress delivered(String text, Epoch epoch, long nowNanos) {
    boolean first = tokens.isEmpty();
    return new Progress(
        tokens.append(text),
        arrivedNanos,
        first ? nowNanos : firstTokenNanos,
        nowNanos,
        nowNanos,
        epoch.value(),
        reached,
        first ? 0 : Math.max(slowestGapNanos, nowNanos - lastTokenNanos));
  }

  /** Returns this progress after a sign of life that is not a token. */
  Progress moved(long nowNanos) {
    return new Progress(
        tokens,
        arrivedNanos,
        firstTokenNanos,
        lastTokenNanos,
        nowNanos,
        tokenEpoch,
        reached,
        slowestGapNanos);
  }

  /** Returns this progress after a probe that found the stages at the given positions in sum. */
  Progress probed(int nextReached) {
    return new Progress(
        tokens,
        arrivedNanos,
        firstTokenNanos,
        lastTokenNanos,
        movedNanos,
        tokenEpoch,
        nextReached,
        slowestGapNanos);
  }

  Option<Long> timeToFirstTokenNanos() {
    return Option.when(!tokens.isEmpty(), () -> firstTokenNanos - arrivedNanos);
  }

  /** Returns the mean time between two tokens; only called once there are two. */
  double meanGapNanos() {
    return (double) (lastTokenNanos - firstTokenNanos) / (tokens.length() - 1);
  }

  Option<Long> slowestGap() {
    return Option.when(tokens.length() > 1, () -> slowestGapNanos);
  }
}
