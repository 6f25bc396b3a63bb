package io.zinniawood.core.entry;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.Epoch;
import java.util.concurrent.TimeUnit;

/**
 * Tokens that were delivered to the caller, and the times of a session's progress.
 *
 * @param tokenTexts texts by position; also the inputs that the first stage needs again when it is
 *     rebuilt
 * @param arrivedNanos monotonic time of the request's arrival in nanoseconds
 * @param firstTokenNanos monotonic time of the first token in nanoseconds, 0 before it
 * @param lastTokenNanos monotonic time of the last token in nanoseconds
 * @param lastProgressNanos monotonic time of the last progress of any kind in nanoseconds
 * @param tokenEpoch epoch of the last token, 0 before the first one
 * @param probedPositionSum sum of the stages' next positions when they were last probed
 * @param slowestGapNanos longest time between two tokens in nanoseconds
 * @param lossesSinceToken number of times that endpoints of the session were lost since the last
 *     token
 * @param lastLossNanos monotonic time of the last of these losses in nanoseconds
 */
record DeliveryProgress(
    Vector<String> tokenTexts,
    long arrivedNanos,
    long firstTokenNanos,
    long lastTokenNanos,
    long lastProgressNanos,
    long tokenEpoch,
    int probedPositionSum,
    long slowestGapNanos,
    int lossesSinceToken,
    long lastLossNanos) {
  /** Time within which several lost endpoints count as one loss, as of a rack or a network. */
  private static final long SAME_LOSS_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  static DeliveryProgress initial(long nowNanos) {
    return new DeliveryProgress(Vector.empty(), nowNanos, 0, nowNanos, nowNanos, 0, 0, 0, 0, 0);
  }

  /** Returns the position of the next token. */
  int nextPosition() {
    return tokenTexts.length();
  }

  /** Returns this progress after the next token was sent to the caller. */
  DeliveryProgress withToken(String text, Epoch epoch, long nowNanos) {
    boolean first = tokenTexts.isEmpty();
    return new DeliveryProgress(
        tokenTexts.append(text),
        arrivedNanos,
        first ? nowNanos : firstTokenNanos,
        nowNanos,
        nowNanos,
        epoch.value(),
        probedPositionSum,
        first ? 0 : Math.max(slowestGapNanos, nowNanos - lastTokenNanos),
        0,
        0);
  }

  /** Returns this progress with the time of progress other than a token. */
  DeliveryProgress withProgressAt(long nowNanos) {
    return new DeliveryProgress(
        tokenTexts,
        arrivedNanos,
        firstTokenNanos,
        lastTokenNanos,
        nowNanos,
        tokenEpoch,
        probedPositionSum,
        slowestGapNanos,
        lossesSinceToken,
        lastLossNanos);
  }

  /** Returns this progress with the sum of the stages' next positions that a probe found. */
  DeliveryProgress withProbedPositionSum(int changed) {
    return new DeliveryProgress(
        tokenTexts,
        arrivedNanos,
        firstTokenNanos,
        lastTokenNanos,
        lastProgressNanos,
        tokenEpoch,
        changed,
        slowestGapNanos,
        lossesSinceToken,
        lastLossNanos);
  }

  /** Returns this progress after endpoints of the session were lost. */
  DeliveryProgress withLoss(long nowNanos) {
    boolean sameLoss = lossesSinceToken > 0 && nowNanos - lastLossNanos < SAME_LOSS_NANOS;
    return new DeliveryProgress(
        tokenTexts,
        arrivedNanos,
        firstTokenNanos,
        lastTokenNanos,
        lastProgressNanos,
        tokenEpoch,
        probedPositionSum,
        slowestGapNanos,
        sameLoss ? lossesSinceToken : lossesSinceToken + 1,
        sameLoss ? lastLossNanos : nowNanos);
  }

  Option<Long> timeToFirstTokenNanos() {
    return Option.when(!tokenTexts.isEmpty(), () -> firstTokenNanos - arrivedNanos);
  }

  /** Returns the mean time between two tokens. Requires at least two delivered tokens. */
  double meanGapNanos() {
    return (double) (lastTokenNanos - firstTokenNanos) / (tokenTexts.length() - 1);
  }

  Option<Long> slowestGapIfAny() {
    return Option.when(tokenTexts.length() > 1, () -> slowestGapNanos);
  }
}
