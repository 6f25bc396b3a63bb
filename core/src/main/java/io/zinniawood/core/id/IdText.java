package io.zinniawood.core.id;

import java.util.Objects;

/** Checks the text of ids. */
final class IdText {
  /** Longest id in characters; bounds the memory that a peer or caller can claim with one id. */
  static final int MAX_CHARACTERS = 256;

  private IdText() {}

  static void check(String typeName, String value) {
    Objects.requireNonNull(value, typeName);
    if (value.isBlank() || value.length() > MAX_CHARACTERS) {
      throw new IllegalArgumentException(
          "%s must have 1 to %d characters, but has %d"
              .formatted(typeName, MAX_CHARACTERS, value.length()));
    }
  }
}
