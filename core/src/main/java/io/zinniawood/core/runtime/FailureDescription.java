package io.zinniawood.core.runtime;

/**
 * Description of an exception or error of bounded length, for logs.
 *
 * @param exception class name
 * @param message message, cut to {@value #MAX_MESSAGE_CHARS} characters
 * @param at frame that threw it, "-" if there is no stack trace
 */
public record FailureDescription(String exception, String message, String at) {
  private static final int MAX_MESSAGE_CHARS = 200;

  /** Returns the description of a failure. */
  public static FailureDescription of(Throwable failure) {
    String message = String.valueOf(failure.getMessage());
    StackTraceElement[] trace = failure.getStackTrace();
    return new FailureDescription(
        failure.getClass().getName(),
        message.substring(0, Math.min(MAX_MESSAGE_CHARS, message.length())),
        trace.length == 0 ? "-" : trace[0].toString());
  }

  @Override
  public String toString() {
    return "%s: %s at %s".formatted(exception, message, at);
  }
}
