package io.zinniawood.standin.engine;

/**
 * Fault switches of an engine.
 *
 * @param frozen requests wait until the engine is no longer frozen
 * @param down requests are answered with status 503
 * @param failNextSteps number of steps that fail without running
 * @param slowFactor factor on the duration of batches; 0 or 1 for no change
 * @param addedMillis time added to each batch in milliseconds
 * @param loseResponses number of run requests that are executed but whose connection is closed
 *     without a response; -1 for all
 */
public record EngineFaults(
    boolean frozen,
    boolean down,
    int failNextSteps,
    double slowFactor,
    long addedMillis,
    int loseResponses) {
  /** Returns settings without faults. */
  public static EngineFaults none() {
    return new EngineFaults(false, false, 0, 1, 0, 0);
  }

  /** Returns a frozen engine. */
  public static EngineFaults freeze() {
    return new EngineFaults(true, false, 0, 1, 0, 0);
  }

  /** Returns an engine that answers with status 503. */
  public static EngineFaults outage() {
    return new EngineFaults(false, true, 0, 1, 0, 0);
  }

  /** Returns an engine that fails the next steps. */
  public static EngineFaults failSteps(int steps) {
    return new EngineFaults(false, false, steps, 1, 0, 0);
  }

  /** Returns a slow engine. */
  public static EngineFaults slow(double factor, long addedMillis) {
    return new EngineFaults(false, false, 0, factor, addedMillis, 0);
  }

  /** Returns an engine that loses the responses to the next run requests. */
  public static EngineFaults lostResponses(int requests) {
    return new EngineFaults(false, false, 0, 1, 0, requests);
  }

  EngineFaults withFailNextSteps(int steps) {
    return new EngineFaults(frozen, down, steps, slowFactor, addedMillis, loseResponses);
  }

  EngineFaults withLoseResponses(int requests) {
    return new EngineFaults(frozen, down, failNextSteps, slowFactor, addedMillis, requests);
  }
}
