package io.zinniawood.standin.engine;

/**
 * Fault switches of an engine.
 *
 * @param frozen requests are held until the engine is no longer frozen
 * @param down requests are answered with status 503
 * @param failNextSteps number of steps that fail without running
 * @param slowFactor factor on the cost of batches; 0 or 1 for none
 * @param addedMillis time added to each batch in milliseconds
 * @param loseResponses number of batches that run without a response, as the connection is cut; -1
 *     for all
 */
public record EngineFaults(
    boolean frozen,
    boolean down,
    int failNextSteps,
    double slowFactor,
    long addedMillis,
    int loseResponses) {
  /** Returns the state without faults. */
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

  /** Returns an engine that loses the responses of the next batches. */
  public static EngineFaults lostResponses(int batches) {
    return new EngineFaults(false, false, 0, 1, 0, batches);
  }

  EngineFaults withFailNextSteps(int steps) {
    return new EngineFaults(frozen, down, steps, slowFactor, addedMillis, loseResponses);
  }

  EngineFaults withLoseResponses(int batches) {
    return new EngineFaults(frozen, down, failNextSteps, slowFactor, addedMillis, batches);
  }
}
