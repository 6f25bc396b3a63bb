package io.zinniawood.core.relay;

/** Describes exceptions and errors in log entries of bounded length. */
public final class DecisionFailure {
  private static final int MAX_MESSAGE_CHARS = 200;

  private DecisionFailure() {}

  /**
   * Returns the log entry of a failure.
   *
   * @param event event name of the entry
   * @param subject what failed, such as the type of an event or effect
   */
  public static Decision describe(String event, String subject, Throwable failure) {
    String message = String.valueOf(failure.getMessage());
    StackTraceElement[] trace = failure.getStackTrace();
    return Decision.of(
        event,
        "reason",
        subject,
        "exception",
        failure.getClass().getName(),
        "message",
        message.substring(0, Math.min(MAX_MESSAGE_CHARS, message.length())),
        "at",
        trace.length == 0 ? "-" : trace[0].toString());
  }
}
