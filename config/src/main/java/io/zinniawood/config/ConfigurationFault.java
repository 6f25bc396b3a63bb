package io.zinniawood.config;

/**
 * Fault in a configuration or settings file.
 *
 * @param file file name
 * @param line line, counted from 1
 * @param column column, counted from 1
 * @param key dotted key, empty for a syntax error
 * @param found value found
 * @param expected value expected
 */
public record ConfigurationFault(
    String file, int line, int column, String key, String found, String expected) {
  /** Returns the fault as one line for a person. */
  public String text() {
    String subject = key.isEmpty() ? "" : key + ": ";
    return "%s:%d:%d: %sfound %s, expected %s"
        .formatted(file, line, column, subject, found, expected);
  }
}
