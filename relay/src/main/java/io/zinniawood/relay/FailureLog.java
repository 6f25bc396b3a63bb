package io.zinniawood.relay;

/** Receives failures of callbacks and tasks, which are faults of the relay. */
@FunctionalInterface
public interface FailureLog {
  /**
   * Logs and counts a failure.
   *
   * @param event event name of the log entry
   * @param subject what failed, such as the name of a task
   */
  void failed(String event, String subject, Throwable failure);
}
