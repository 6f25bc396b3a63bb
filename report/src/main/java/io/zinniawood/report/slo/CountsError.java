package io.zinniawood.report.slo;

/** Reason why serialised counts cannot be written or read. */
public sealed interface CountsError {
  /** Returns an explanation for a person. */
  String detail();

  /**
   * The text is larger than the bound.
   *
   * @param sizeBytes size in bytes
   * @param maxBytes bound in bytes
   */
  record TooLarge(int sizeBytes, int maxBytes) implements CountsError {
    @Override
    public String detail() {
      return "the counts have %d bytes, but at most %d are allowed".formatted(sizeBytes, maxBytes);
    }
  }

  /**
   * The text is not serialised counts.
   *
   * @param detail what is wrong
   */
  record Malformed(String detail) implements CountsError {}
}
