package io.zinniawood.engine;

/** Failure of a call to an engine or a plain service. */
public sealed interface EngineError {
  /** Returns an explanation for a person. */
  String detail();

  /**
   * The call never reached the endpoint; it did not run.
   *
   * @param detail explanation for a person
   */
  record NotSent(String detail) implements EngineError {}

  /**
   * The response is missing; the call may have run.
   *
   * @param detail explanation for a person
   */
  record ResponseLost(String detail) implements EngineError {}

  /**
   * The endpoint refused the call; it did not run.
   *
   * @param status HTTP status
   * @param detail explanation for a person
   */
  record Refused(int status, String detail) implements EngineError {}
}
