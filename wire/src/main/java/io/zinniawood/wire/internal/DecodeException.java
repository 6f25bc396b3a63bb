package io.zinniawood.wire.internal;

/** Thrown if an envelope is well-formed protobuf but not a valid message. */
final class DecodeException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  DecodeException(String message) {
    super(message);
  }
}
