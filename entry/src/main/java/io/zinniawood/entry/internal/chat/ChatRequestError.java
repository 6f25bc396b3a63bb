package io.zinniawood.entry.internal.chat;

/** Reason why a body is not a chat request. */
public sealed interface ChatRequestError {
  /** Returns an explanation for the caller; holds no content of the body beyond field names. */
  String detail();

  /**
   * The body is not one JSON document in UTF-8.
   *
   * @param detail explanation
   */
  record Malformed(String detail) implements ChatRequestError {}

  /**
   * A field is missing or has a wrong type or value.
   *
   * @param field path of the field
   * @param expected value expected
   */
  record InvalidField(String field, String expected) implements ChatRequestError {
    @Override
    public String detail() {
      return "field %s must be %s".formatted(field, expected);
    }
  }

  /**
   * A field asks for something that the system does not do.
   *
   * @param field path of the field
   */
  record Unsupported(String field) implements ChatRequestError {
    @Override
    public String detail() {
      return "field %s asks for something that is not supported".formatted(field);
    }
  }
}
