package io.zinniawood.config.internal;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Key of a table with its type, range and default.
 *
 * @param <T> Java type of the value
 * @param name key
 * @param expected value expected, for a person
 * @param convert returns the checked value, none if the value is not as expected
 * @param defaultValue default, none if the key is required
 */
public record Field<T>(
    String name, String expected, Function<Object, Option<T>> convert, Option<T> defaultValue) {

  /** Returns this field with a default. */
  public Field<T> withDefault(T value) {
    return new Field<>(name, expected, convert, Option.of(value));
  }

  /** Returns a field whose absence is a value. */
  public Field<Option<T>> optional() {
    return new Field<>(
        name, expected, raw -> convert.apply(raw).map(Option::of), Option.of(Option.none()));
  }

  /** Returns an integer field. */
  public static Field<Long> integer(String name, long least, long most) {
    return new Field<>(
        name,
        "an integer from %d to %d".formatted(least, most),
        raw ->
            raw instanceof Long value && value >= least && value <= most
                ? Option.of(value)
                : Option.none(),
        Option.none());
  }

  /** Returns a number field; integers are accepted as numbers. */
  public static Field<Double> number(String name, double least, double most) {
    return new Field<>(
        name,
        "a number from %s to %s".formatted(formatNumber(least), formatNumber(most)),
        raw -> {
          double value =
              raw instanceof Double real
                  ? real
                  : raw instanceof Long whole ? (double) whole : Double.NaN;
          // The sum turns -0.0 into 0.0, so that equal configurations have one text.
          return value >= least && value <= most ? Option.of(value + 0.0) : Option.none();
        },
        Option.none());
  }

  /** Returns a text field whose value must match the test. */
  public static Field<String> string(String name, String expected, Predicate<String> test) {
    return new Field<>(
        name,
        expected,
        raw -> raw instanceof String text && test.test(text) ? Option.of(text) : Option.none(),
        Option.none());
  }

  /** Returns a field that takes one of the values of an enum by the given name. */
  public static <E extends Enum<E>> Field<E> choice(
      String name, E[] values, Function<E, String> text) {
    Vector<E> known = Vector.of(values);
    return new Field<>(
        name,
        "one of " + known.map(value -> "\"" + text.apply(value) + "\"").mkString(", "),
        raw -> known.find(value -> text.apply(value).equals(raw)),
        Option.none());
  }

  /** Returns a field that takes a list of texts that each match the test. */
  public static Field<Set<String>> stringSet(
      String name, String expected, int mostItems, Predicate<String> test) {
    return new Field<>(
        name,
        "a list of at most %d items, each %s".formatted(mostItems, expected),
        raw -> {
          if (!(raw instanceof Vector<?> list) || list.size() > mostItems) {
            return Option.none();
          }
          boolean valid = list.forAll(item -> item instanceof String text && test.test(text));
          return valid ? Option.of(HashSet.ofAll(list.map(String.class::cast))) : Option.none();
        },
        Option.none());
  }

  /** Returns a field whose text a parser turns into a value; the parser may refuse by throwing. */
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
          } catch (IllegalArgumentException refused) {
            return Option.none();
          }
        },
        Option.none());
  }

  private static String formatNumber(double value) {
    return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
  }
}
