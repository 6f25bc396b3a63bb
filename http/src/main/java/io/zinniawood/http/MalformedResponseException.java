package io.zinniawood.http;

/** A response does not follow the HTTP interface of its server. */
public final class MalformedResponseException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates the exception with an explanation for a person. */
  public MalformedResponseException(String message) {
    super(message);
  }

  /** Creates the exception with an explanation for a person and its cause. */
  public MalformedResponseException(String message, Throwable cause) {
    super(message, cause);
  }
}
