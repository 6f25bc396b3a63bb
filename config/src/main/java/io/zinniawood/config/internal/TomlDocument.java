package io.zinniawood.config.internal;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.zinniawood.config.ConfigurationFault;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Parsed TOML file.
 *
 * @param values value and position by path of the key
 * @param tables position by path of the table
 * @param faults syntax errors, or the fault of a file that is too large
 */
public record TomlDocument(
    Map<Vector<String>, LocatedValue> values,
    Map<Vector<String>, LocatedValue> tables,
    Vector<ConfigurationFault> faults) {

  /**
   * Largest file in characters: more than three times the 272,000 characters of a file with 1,900
   * client accounts.
   */
  public static final int MAX_CHARACTERS = 1024 * 1024;

  /** Parses the text of a file; returns a document with faults for invalid text, never throws. */
  public static TomlDocument parse(String file, String text) {
    if (text.length() > MAX_CHARACTERS) {
      return withFault(
          new ConfigurationFault(
              file,
              1,
              1,
              "",
              text.length() + " characters",
              "at most %d characters".formatted(MAX_CHARACTERS)));
    }
    Optional<TomlParseResult> result = tryParse(text);
    return result
        .map(found -> read(file, found))
        .orElseGet(
            () ->
                withFault(
                    new ConfigurationFault(
                        file,
                        firstFailingLine(text),
                        1,
                        "",
                        "text that the TOML parser cannot process",
                        "valid TOML without malformed escapes or deep nesting")));
  }

  /**
   * Returns an empty result if the parser throws: it recurses without a limit for each level of
   * nesting, and it asserts that escapes in strings are well formed.
   */
  private static Optional<TomlParseResult> tryParse(String text) {
    try {
      return Optional.of(Toml.parse(text));
    } catch (StackOverflowError | AssertionError | RuntimeException failure) {
      return Optional.empty();
    }
  }

  /** Finds by bisection the first line that makes the parser throw. */
  private static int firstFailingLine(String text) {
    String[] lines = text.split("\n", -1);
    int parsedLines = 0;
    int failingLines = lines.length;
    while (failingLines - parsedLines > 1) {
      int middle = (parsedLines + failingLines) / 2;
      String prefix = String.join("\n", Arrays.asList(lines).subList(0, middle));
      if (tryParse(prefix).isPresent()) {
        parsedLines = middle;
      } else {
        failingLines = middle;
      }
    }
    return failingLines;
  }

  private static TomlDocument withFault(ConfigurationFault fault) {
    return new TomlDocument(HashMap.empty(), HashMap.empty(), Vector.of(fault));
  }

  private static TomlDocument read(String file, TomlParseResult result) {
    if (result.hasErrors()) {
      Vector<ConfigurationFault> faults =
          Vector.ofAll(result.errors())
              .map(
                  error ->
                      new ConfigurationFault(
                          file,
                          line(error.position()),
                          column(error.position()),
                          "",
                          ValueFormatter.escapeControlCharacters(
                              String.valueOf(error.getMessage())),
                          "valid TOML"));
      return new TomlDocument(HashMap.empty(), HashMap.empty(), faults);
    }
    Map<Vector<String>, LocatedValue> values = HashMap.empty();
    Map<Vector<String>, LocatedValue> tables = HashMap.empty();
    for (List<String> path : result.keyPathSet(true)) {
      Object value = result.get(path);
      TomlPosition position = result.inputPositionOf(path);
      LocatedValue located =
          new LocatedValue(file, line(position), column(position), toValue(value));
      if (value instanceof TomlTable) {
        tables = tables.put(Vector.ofAll(path), located);
      } else {
        values = values.put(Vector.ofAll(path), located);
      }
    }
    return new TomlDocument(values, tables, Vector.empty());
  }

  private static int line(TomlPosition position) {
    return position == null ? 1 : Math.max(1, position.line());
  }

  private static int column(TomlPosition position) {
    return position == null ? 1 : Math.max(1, position.column());
  }

  private static Object toValue(Object value) {
    if (value instanceof TomlArray array) {
      return Vector.range(0, array.size()).map(index -> toValue(array.get(index)));
    }
    if (value instanceof TomlTable) {
      return new LocatedValue.Unsupported("a table");
    }
    if (value instanceof Long || value instanceof Double || value instanceof Boolean) {
      return value;
    }
    return value instanceof String ? value : new LocatedValue.Unsupported("a date or time");
  }
}
