package io.zinniawood.config.internal;

import io.vavr.collection.Vector;

/** Text of values for messages. */
public final class ValueFormatter {
  private static final int MAX_ABBREVIATED_CHARACTERS = 80;

  private ValueFormatter() {}

  /** Returns the value as it is written in TOML, shortened, on one line. */
  public static String abbreviate(Object value) {
    String text = format(value);
    return text.length() <= MAX_ABBREVIATED_CHARACTERS
        ? text
        : text.substring(0, MAX_ABBREVIATED_CHARACTERS) + "...";
  }

  /** Returns the value as it is written in TOML, on one line. */
  public static String format(Object value) {
    if (value instanceof Vector<?> list) {
      return list.map(ValueFormatter::format).mkString("[", ", ", "]");
    }
    if (value instanceof String string) {
      return "\"" + escapeControlCharacters(string) + "\"";
    }
    return escapeControlCharacters(String.valueOf(value));
  }

  /** Replaces control characters, which would break a one-line message or a terminal. */
  public static String escapeControlCharacters(String text) {
    StringBuilder cleaned = new StringBuilder(text.length());
    text.codePoints()
        .forEach(
            point -> {
              if (Character.isISOControl(point) || Character.getType(point) == Character.FORMAT) {
                cleaned.append("\\u%04X".formatted(point));
              } else {
                cleaned.appendCodePoint(point);
              }
            });
    return cleaned.toString();
  }

  /** Returns the path as a dotted key, with quotes where TOML needs them. */
  public static String dottedKey(Vector<String> path) {
    return path.map(part -> part.matches("[A-Za-z0-9_-]+") ? part : format(part)).mkString(".");
  }
}
