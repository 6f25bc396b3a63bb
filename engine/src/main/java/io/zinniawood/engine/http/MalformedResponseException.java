package io.zinniawood.engine.http;

/** A response does not follow the engine's HTTP interface. */
final class MalformedResponseException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedResponseException(String message) {
    super(message);
  }

  MalformedResponseException(String message, Throwable cause) {
    super(message, cause);
  }
}
