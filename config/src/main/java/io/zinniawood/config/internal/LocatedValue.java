package io.zinniawood.config.internal;

/**
 * Value or table with its position in a file.
 *
 * @param file file name
 * @param line line, counted from 1
 * @param column column, counted from 1
 * @param value {@code Long}, {@code Double}, {@code String}, {@code Boolean}, a Vavr vector of
 *     these, or an {@link Unsupported} value
 */
public record LocatedValue(String file, int line, int column, Object value) {
  /**
   * Placeholder for a value of a type that no key accepts.
   *
   * @param type name of the type for fault messages
   */
  public record Unsupported(String type) {
    @Override
    public String toString() {
      return type;
    }
  }

  /** Returns the value in TOML syntax on one line, truncated to 80 characters. */
  public String text() {
    return ValueFormatter.abbreviate(value);
  }
}
