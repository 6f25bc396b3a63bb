package io.zinniawood.core.pace;

/**
 * Delay that a new stream causes to an event of another one at an endpoint.
 *
 * @param passMillis increase of the time of each pass
 * @param prefillMillis time to read the new prompt, which one event may wait for
 * @param eventMillis time that an event needs there without the new stream
 */
record AddedDelay(double passMillis, double prefillMillis, double eventMillis) {
  /**
   * Returns the time that an event waits at each endpoint that it shares with the prompt. Where the
   * prompt is read faster than the event passes, it gets ahead, and the event waits only once; see
   * {@link #onceMillis}.
   */
  double repeatedMillis() {
    return passMillis + Math.max(0, prefillMillis - eventMillis);
  }

  /** Returns the time that an event waits at one of the shared endpoints only. */
  double onceMillis() {
    return Math.min(prefillMillis, eventMillis);
  }

  double totalMillis() {
    return passMillis + prefillMillis;
  }
}
