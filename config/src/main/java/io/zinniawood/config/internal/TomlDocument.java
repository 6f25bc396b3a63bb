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
 * Keys and tables of one TOML file.
 *
 * @param values value of each key
 * @param tables position of each table
 * @param faults faults of syntax and size
 */
public record TomlDocument(
    Map<Vector<String>, LocatedValue> values,
    Map<Vector<String>, LocatedValue> tables,
    Vector<ConfigurationFault> faults) {

  /** A file with 1,900 client accounts has 272,000 characters; the bound leaves room for three. */
  public static final int MAX_CHARACTERS = 1024 * 1024;

  /** Parses the text of a file; never throws. */
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
                        "text that the parser cannot read",
                        "valid TOML without malformed escapes or deep nesting")));
  }

  /**
   * Returns no result where the parser itself fails: it descends once for each level of nesting
   * without a bound, and it asserts that escapes in strings are well formed.
   */
  private static Optional<TomlParseResult> tryParse(String text) {
    try {
      return Optional.of(Toml.parse(text));
    } catch (StackOverflowError | AssertionError | RuntimeException failure) {
      return Optional.empty();
    }
  }

  /** Finds the first line without which the text before it can be parsed. */
  private static int firstFailingLine(String text) {
    String[] lines = text.split("\n", -1);
    int good = 0;
    int bad = lines.length;
    while (bad - good > 1) {
      int middle = (good + bad) / 2;
      String head = String.join("\n", Arrays.asList(lines).subList(0, middle));
      if (tryParse(head).isPresent()) {
        good = middle;
      } else {
        bad = middle;
      }
    }
    return bad;
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
