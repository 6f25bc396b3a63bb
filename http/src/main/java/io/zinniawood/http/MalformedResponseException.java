package io.zinniawood.http;

/** Thrown when a response does not conform to the HTTP interface of the server. */
public final class MalformedResponseException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates the exception with a human-readable explanation. */
  public MalformedResponseException(String message) {
    super(message);
  }

  /** Creates the exception with a human-readable explanation and its cause. */
  public MalformedResponseException(String message, Throwable cause) {
    super(message, cause);
  }
}
