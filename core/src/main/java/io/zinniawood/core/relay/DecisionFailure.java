package io.zinniawood.core.relay;

import io.zinniawood.core.runtime.FailureDescription;

/** Describes exceptions and errors in log entries of bounded length. */
public final class DecisionFailure {
  private DecisionFailure() {}

  /**
   * Returns the log entry of a failure.
   *
   * @param event event name of the entry
   * @param subject what failed, such as the type of an event or effect
   */
  public static Decision describe(String event, String subject, Throwable failure) {
    FailureDescription description = FailureDescription.of(failure);
    return Decision.of(
        event,
        "reason",
        subject,
        "exception",
        description.exception(),
        "message",
        description.message(),
        "at",
        description.at());
  }
}
