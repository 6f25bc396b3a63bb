package io.zinniawood.config.internal;

import io.vavr.collection.Vector;

/** Formats values and keys for fault messages and reports. */
public final class ValueFormatter {
  private static final int MAX_ABBREVIATED_CHARACTERS = 80;

  private ValueFormatter() {}

  /** Returns the value in TOML syntax on one line, truncated to 80 characters. */
  public static String abbreviate(Object value) {
    String text = format(value);
    return text.length() <= MAX_ABBREVIATED_CHARACTERS
        ? text
        : text.substring(0, MAX_ABBREVIATED_CHARACTERS) + "...";
  }

  /** Returns the value in TOML syntax on one line. */
  public static String format(Object value) {
    if (value instanceof Vector<?> list) {
      return list.map(ValueFormatter::format).mkString("[", ", ", "]");
    }
    if (value instanceof String string) {
      return "\"" + escapeControlCharacters(string) + "\"";
    }
    return escapeControlCharacters(String.valueOf(value));
  }

  /**
   * Escapes control and format characters, which could break a one-line message or control a
   * terminal.
   */
  public static String escapeControlCharacters(String text) {
    StringBuilder escaped = new StringBuilder(text.length());
    text.codePoints()
        .forEach(
            codePoint -> {
              if (Character.isISOControl(codePoint)
                  || Character.getType(codePoint) == Character.FORMAT) {
                escaped.append("\\u%04X".formatted(codePoint));
              } else {
                escaped.appendCodePoint(codePoint);
              }
            });
    return escaped.toString();
  }

  /** Returns the path as a dotted key, with quotes where TOML requires them. */
  public static String dottedKey(Vector<String> path) {
    return path.map(part -> part.matches("[A-Za-z0-9_-]+") ? part : format(part)).mkString(".");
  }
}
