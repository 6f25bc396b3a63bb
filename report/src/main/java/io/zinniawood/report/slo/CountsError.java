package io.zinniawood.report.slo;

/** Reason why counts cannot be serialised or parsed. */
public sealed interface CountsError {
  /** Returns a description for logs and for the report pages. */
  String detail();

  /**
   * The serialised counts exceed the size limit.
   *
   * @param sizeBytes actual size in bytes
   * @param maxBytes maximum size in bytes
   */
  record TooLarge(int sizeBytes, int maxBytes) implements CountsError {
    @Override
    public String detail() {
      return "the counts have %d bytes, but at most %d are allowed".formatted(sizeBytes, maxBytes);
    }
  }

  /**
   * The input is not a valid serialisation of counts.
   *
   * @param detail description of the first error
   */
  record Malformed(String detail) implements CountsError {}
}
