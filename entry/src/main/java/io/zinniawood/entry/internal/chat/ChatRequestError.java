package io.zinniawood.entry.internal.chat;

/** Reason why a body is not a valid chat request. */
public sealed interface ChatRequestError {
  /** Returns an explanation for the caller; contains nothing of the body except field names. */
  String detail();

  /**
   * The body is not one JSON document in UTF-8.
   *
   * @param detail explanation for the caller
   */
  record Malformed(String detail) implements ChatRequestError {}

  /**
   * A field is missing or has a wrong type or value.
   *
   * @param field path of the field
   * @param expected description of a valid value
   */
  record InvalidField(String field, String expected) implements ChatRequestError {
    @Override
    public String detail() {
      return "field %s must be %s".formatted(field, expected);
    }
  }

  /**
   * A field requests a feature that is not supported.
   *
   * @param field path of the field
   */
  record Unsupported(String field) implements ChatRequestError {
    @Override
    public String detail() {
      return "field %s requests an unsupported feature".formatted(field);
    }
  }
}
