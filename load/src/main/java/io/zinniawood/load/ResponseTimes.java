package io.zinniawood.load;

/** Time to the first token and gaps between tokens of one response. Not thread-safe. */
final class ResponseTimes {
  private final long intendedSendNanos;
  private long firstTokenMicros = -1;
  private long lastTokenNanos;
  private long gapCount;
  private long[] gapMicros = new long[64];

  ResponseTimes(long intendedSendNanos) {
    this.intendedSendNanos = intendedSendNanos;
  }

  /**
   * Records a token and returns the microseconds since the previous token, or since the intended
   * send time for the first token.
   */
  long recordToken(long nowNanos) {
    if (firstTokenMicros < 0) {
      firstTokenMicros = (nowNanos - intendedSendNanos) / 1_000;
      lastTokenNanos = nowNanos;
      return firstTokenMicros;
    }
    long micros = (nowNanos - lastTokenNanos) / 1_000;
    lastTokenNanos = nowNanos;
    if (gapCount == gapMicros.length) {
      gapMicros = java.util.Arrays.copyOf(gapMicros, gapMicros.length * 2);
    }
    gapMicros[(int) gapCount] = micros;
    gapCount++;
    return micros;
  }

  /** Returns the microseconds since the intended send time. */
  long microsSinceIntendedSend(long nowNanos) {
    return (nowNanos - intendedSendNanos) / 1_000;
  }

  boolean hasTokens() {
    return firstTokenMicros >= 0;
  }

  /** Returns whether the response met the limits; a response without tokens meets them. */
  boolean isWithin(LatencyLimits limits) {
    if (firstTokenMicros > limits.firstTokenMillis() * 1_000) {
      return false;
    }
    long gapsWithinLimit = 0;
    for (int i = 0; i < gapCount; i++) {
      if (gapMicros[i] <= limits.tokenGapMillis() * 1_000) {
        gapsWithinLimit++;
      }
    }
    return gapsWithinLimit >= gapCount * limits.tokenGapShare();
  }
}
