package io.zinniawood.config;

/**
 * Fault at a position in a configuration or settings file.
 *
 * @param file file name
 * @param line line, counted from 1
 * @param column column, counted from 1
 * @param key dotted key, empty for a syntax error
 * @param found description of the value found
 * @param expected description of the values accepted
 */
public record ConfigurationFault(
    String file, int line, int column, String key, String found, String expected) {
  /** Returns position, key, value found and value expected as one line of text. */
  public String text() {
    String subject = key.isEmpty() ? "" : key + ": ";
    return "%s:%d:%d: %sfound %s, expected %s"
        .formatted(file, line, column, subject, found, expected);
  }
}
