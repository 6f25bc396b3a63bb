package io.zinniawood.core.frame;

/** What a status line of a response may be (RFC 9112, section 4; RFC 9110, section 15). */
public final class StatusLine {
  private static final int MIN_STATUS = 100;
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;
  private static final int STATUS_DIGITS = 3;

  private StatusLine() {}

  /**
   * Returns whether a status line names a spoken version of HTTP and a status that HTTP knows. A
   * response with another one says nothing about its request.
   *
   * @param version first word of the line
   * @param status second word of the line, as it was received
   */
  public static boolean isValid(String version, String status) {
    return (version.equals("HTTP/1.1") || version.equals("HTTP/1.0"))
        && status.length() == STATUS_DIGITS
        && status.chars().allMatch(character -> character >= '0' && character <= '9')
        && Integer.parseInt(status) >= MIN_STATUS
        && Integer.parseInt(status) <= MAX_STATUS;
  }

  /** Returns whether a status is one of a final response. */
  public static boolean isFinal(int status) {
    return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
  }
}
