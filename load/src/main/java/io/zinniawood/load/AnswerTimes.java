package io.zinniawood.load;

/** Token times of one answer. Not thread-safe. */
final class AnswerTimes {
  private final long intendedNanos;
  private long firstTokenMicros = -1;
  private long lastTokenNanos;
  private long gaps;
  private long[] gapMicros = new long[64];

  AnswerTimes(long intendedNanos) {
    this.intendedNanos = intendedNanos;
  }

  /** Notes a token and returns the microseconds since the token before or the intended start. */
  long token(long nowNanos) {
    if (firstTokenMicros < 0) {
      firstTokenMicros = (nowNanos - intendedNanos) / 1_000;
      lastTokenNanos = nowNanos;
      return firstTokenMicros;
    }
    long micros = (nowNanos - lastTokenNanos) / 1_000;
    lastTokenNanos = nowNanos;
    if (gaps == gapMicros.length) {
      gapMicros = java.util.Arrays.copyOf(gapMicros, gapMicros.length * 2);
    }
    gapMicros[(int) gaps] = micros;
    gaps++;
    return micros;
  }

  /** Returns the microseconds since the intended send time. */
  long sinceIntendedMicros(long nowNanos) {
    return (nowNanos - intendedNanos) / 1_000;
  }

  boolean hasTokens() {
    return firstTokenMicros >= 0;
  }

  /** Returns whether the answer kept the limits; an answer without tokens keeps them. */
  boolean keeps(LatencyLimits limits) {
    if (firstTokenMicros > limits.firstTokenMillis() * 1_000) {
      return false;
    }
    long within = 0;
    for (int i = 0; i < gaps; i++) {
      if (gapMicros[i] <= limits.tokenGapMillis() * 1_000) {
        within++;
      }
    }
    return within >= gaps * limits.share();
  }
}
