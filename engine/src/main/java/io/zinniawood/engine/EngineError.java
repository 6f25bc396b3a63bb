package io.zinniawood.engine;

/** Failure of a call to an engine or a plain service. */
public sealed interface EngineError {
  /** Returns a human-readable explanation. */
  String detail();

  /**
   * The call was not sent to the endpoint, so it did not run.
   *
   * @param detail human-readable explanation
   */
  record NotSent(String detail) implements EngineError {}

  /**
   * No valid response arrived; the call may have run.
   *
   * @param detail human-readable explanation
   */
  record ResponseLost(String detail) implements EngineError {}

  /**
   * The endpoint refused the call, so it did not run.
   *
   * @param status HTTP status of the response
   * @param detail human-readable explanation
   */
  record Refused(int status, String detail) implements EngineError {}
}
