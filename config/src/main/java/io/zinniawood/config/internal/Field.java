package io.zinniawood.config.internal;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Key of a TOML table with the type, range and default of its value.
 *
 * @param <T> Java type of the value
 * @param name key as written in the file
 * @param expected description of the accepted values for fault messages
 * @param convert validates and converts a raw value; returns none for an invalid one
 * @param defaultValue default, none if the key is required
 */
public record Field<T>(
    String name, String expected, Function<Object, Option<T>> convert, Option<T> defaultValue) {

  /** Returns this field with a default, which makes the key optional. */
  public Field<T> withDefault(T value) {
    return new Field<>(name, expected, convert, Option.of(value));
  }

  /** Returns an optional field without a default; a missing key yields none. */
  public Field<Option<T>> optional() {
    return new Field<>(
        name, expected, raw -> convert.apply(raw).map(Option::of), Option.of(Option.none()));
  }

  /** Returns an integer field; both bounds are inclusive. */
  public static Field<Long> integer(String name, long min, long max) {
    return new Field<>(
        name,
        "an integer from %d to %d".formatted(min, max),
        raw ->
            raw instanceof Long value && value >= min && value <= max
                ? Option.of(value)
                : Option.none(),
        Option.none());
  }

  /** Returns a floating-point field that also accepts integers; both bounds are inclusive. */
  public static Field<Double> number(String name, double min, double max) {
    return new Field<>(
        name,
        "a number from %s to %s".formatted(formatNumber(min), formatNumber(max)),
        raw -> {
          double value =
              raw instanceof Double real
                  ? real
                  : raw instanceof Long whole ? (double) whole : Double.NaN;
          // Adding 0.0 turns -0.0 into 0.0, so that equal configurations have the same text.
          return value >= min && value <= max ? Option.of(value + 0.0) : Option.none();
        },
        Option.none());
  }

  /** Returns a string field whose value must satisfy the predicate. */
  public static Field<String> string(String name, String expected, Predicate<String> predicate) {
    return new Field<>(
        name,
        expected,
        raw -> raw instanceof String text && predicate.test(text) ? Option.of(text) : Option.none(),
        Option.none());
  }

  /** Returns a field that accepts enum constants by the names that the function gives. */
  public static <E extends Enum<E>> Field<E> choice(
      String name, E[] values, Function<E, String> text) {
    Vector<E> constants = Vector.of(values);
    return new Field<>(
        name,
        "one of " + constants.map(value -> "\"" + text.apply(value) + "\"").mkString(", "),
        raw -> constants.find(value -> text.apply(value).equals(raw)),
        Option.none());
  }

  /** Returns a field for a list of strings that all satisfy the predicate; duplicates collapse. */
  public static Field<Set<String>> stringSet(
      String name, String expected, int maxItems, Predicate<String> predicate) {
    return new Field<>(
        name,
        "a list of at most %d items, each %s".formatted(maxItems, expected),
        raw -> {
          if (!(raw instanceof Vector<?> list) || list.size() > maxItems) {
            return Option.none();
          }
          boolean valid = list.forAll(item -> item instanceof String text && predicate.test(text));
          return valid ? Option.of(HashSet.ofAll(list.map(String.class::cast))) : Option.none();
        },
        Option.none());
  }

  /**
   * Returns a string field that a parser converts; the parser rejects a value with an {@link
   * IllegalArgumentException}.
   */
  public static <T> Field<T> parsed(String name, String expected, Function<String, T> parser) {
    return new Field<>(
        name,
        expected,
        raw -> {
          if (!(raw instanceof String text)) {
            return Option.none();
          }
          try {
            return Option.of(parser.apply(text));
          } catch (IllegalArgumentException invalid) {
            return Option.none();
          }
        },
        Option.none());
  }

  private static String formatNumber(double value) {
    return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
  }
}
