package io.zinniawood.core.id;

import java.util.Objects;

/** Validates the text of ids. */
final class IdText {
  /** Maximum length of an id; limits the memory that a peer or caller can use up with one id. */
  static final int MAX_CHARACTERS = 256;

  private IdText() {}

  static void check(String typeName, String value) {
    Objects.requireNonNull(value, typeName);
    if (value.isBlank() || value.length() > MAX_CHARACTERS) {
      throw new IllegalArgumentException(
          "%s must not be blank or longer than %d characters; its length is %d"
              .formatted(typeName, MAX_CHARACTERS, value.length()));
    }
  }
}
