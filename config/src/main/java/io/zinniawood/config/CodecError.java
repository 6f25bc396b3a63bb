package io.zinniawood.config;

/** Reason why a configuration cannot be serialised or parsed. */
public sealed interface CodecError {
  /** Returns a description of the error for an operator. */
  String detail();

  /**
   * The serialised configuration exceeds the size limit.
   *
   * @param sizeBytes size in bytes
   * @param maxBytes size limit in bytes
   */
  record TooLarge(int sizeBytes, int maxBytes) implements CodecError {
    @Override
    public String detail() {
      return "the serialised configuration has %d bytes, but at most %d are allowed"
          .formatted(sizeBytes, maxBytes);
    }
  }

  /**
   * The content is not a valid serialised configuration.
   *
   * @param detail description of the error
   */
  record Malformed(String detail) implements CodecError {}

  /**
   * The digest recorded with the configuration differs from the digest of its content.
   *
   * @param stated digest recorded with the configuration
   * @param actual digest computed from the content
   */
  record DigestMismatch(String stated, String actual) implements CodecError {
    @Override
    public String detail() {
      return "the configuration records digest %s, but its content has digest %s"
          .formatted(stated, actual);
    }
  }
}
