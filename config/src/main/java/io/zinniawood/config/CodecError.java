package io.zinniawood.config;

/** Reason why a serialised configuration cannot be written or read. */
public sealed interface CodecError {
  /** Returns an explanation for a person. */
  String detail();

  /**
   * The text is larger than the bound.
   *
   * @param sizeBytes size in bytes
   * @param maxBytes bound in bytes
   */
  record TooLarge(int sizeBytes, int maxBytes) implements CodecError {
    @Override
    public String detail() {
      return "the configuration has %d bytes, but at most %d are allowed"
          .formatted(sizeBytes, maxBytes);
    }
  }

  /**
   * The text is not a serialised configuration.
   *
   * @param detail what is wrong
   */
  record Malformed(String detail) implements CodecError {}

  /**
   * The text has another digest than it states.
   *
   * @param stated digest that the text states
   * @param actual digest of the text
   */
  record DigestMismatch(String stated, String actual) implements CodecError {
    @Override
    public String detail() {
      return "the configuration states digest %s, but has digest %s".formatted(stated, actual);
    }
  }
}
