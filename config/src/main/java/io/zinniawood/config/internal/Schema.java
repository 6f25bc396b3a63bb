package io.zinniawood.config.internal;

import io.vavr.Tuple2;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.config.ConfigurationFault;
import io.zinniawood.core.id.ServiceName;

/**
 * Tables and keys that a TOML file may contain.
 *
 * @param tables specifications of the tables
 */
public record Schema(Vector<TableSpec> tables) {

  /**
   * Returns all faults of a document: syntax errors, unknown tables and keys, values of a wrong
   * type or out of range.
   */
  public Vector<ConfigurationFault> check(TomlDocument document) {
    Vector<ConfigurationFault> tableFaults =
        document.tables().toVector().flatMap(entry -> checkTable(entry._1(), entry._2()));
    Vector<ConfigurationFault> valueFaults =
        document.values().toVector().flatMap(entry -> checkValue(entry));
    return document.faults().appendAll(tableFaults).appendAll(valueFaults);
  }

  private Option<ConfigurationFault> checkTable(Vector<String> path, LocatedValue located) {
    Option<TableSpec> spec = findTable(path);
    if (spec.isEmpty()) {
      // Report only the outermost unknown table; faults for its keys would repeat it.
      return path.size() == 1 ? Option.of(unknownTopLevelKey(path, located)) : Option.none();
    }
    if (spec.get().shape() == TableSpec.Shape.NAMED && path.size() == 2) {
      return isValidId(path.last())
          ? Option.none()
          : Option.of(
              fault(
                  path,
                  located,
                  ValueFormatter.abbreviate(path.last()),
                  "an id of 1 to 256 characters"));
    }
    if (path.size() < spec.get().keyDepth()) {
      return Option.none();
    }
    return path.size() == spec.get().keyDepth()
        ? Option.of(
            spec.get()
                .field(path.last())
                .map(field -> fault(path, located, "a table", field.expected()))
                .getOrElse(() -> unknownKey(path, located, spec.get())))
        : Option.none();
  }

  private Option<ConfigurationFault> checkValue(Tuple2<Vector<String>, LocatedValue> entry) {
    Vector<String> path = entry._1();
    LocatedValue located = entry._2();
    Option<TableSpec> spec = findTable(path);
    if (spec.isEmpty()) {
      return path.size() == 1 ? Option.of(unknownTopLevelKey(path, located)) : Option.none();
    }
    if (path.size() > spec.get().keyDepth()) {
      return Option.none();
    }
    if (path.size() < spec.get().keyDepth()) {
      return Option.of(fault(path, located, located.text(), "a table"));
    }
    Option<Field<?>> field = spec.get().field(path.last());
    if (field.isEmpty()) {
      return Option.of(unknownKey(path, located, spec.get()));
    }
    return field.get().convert().apply(located.value()).isDefined()
        ? Option.none()
        : Option.of(fault(path, located, located.text(), field.get().expected()));
  }

  private Option<TableSpec> findTable(Vector<String> path) {
    Option<TableSpec> named =
        tables.find(
            spec -> spec.shape() != TableSpec.Shape.ROOT && spec.name().equals(path.head()));
    return named.orElse(
        () ->
            path.size() == 1
                ? tables.find(spec -> spec.shape() == TableSpec.Shape.ROOT)
                : Option.none());
  }

  private ConfigurationFault unknownTopLevelKey(Vector<String> path, LocatedValue located) {
    Vector<String> known =
        tables.filter(spec -> spec.shape() != TableSpec.Shape.ROOT).map(TableSpec::name);
    Vector<String> all =
        known.appendAll(
            tables
                .filter(spec -> spec.shape() == TableSpec.Shape.ROOT)
                .flatMap(TableSpec::fieldNames));
    return fault(path, located, "an unknown key", suggestion(path.last(), all));
  }

  private static ConfigurationFault unknownKey(
      Vector<String> path, LocatedValue located, TableSpec spec) {
    return fault(path, located, "an unknown key", suggestion(path.last(), spec.fieldNames()));
  }

  private static String suggestion(String name, Vector<String> known) {
    return ClosestName.find(name, known)
        .map(closest -> "the known key nearest to it, " + closest)
        .getOrElse(() -> "one of " + known.mkString(", "));
  }

  private static ConfigurationFault fault(
      Vector<String> path, LocatedValue located, String found, String expected) {
    return new ConfigurationFault(
        located.file(),
        located.line(),
        located.column(),
        ValueFormatter.dottedKey(path),
        found,
        expected);
  }

  static boolean isValidId(String id) {
    try {
      return !new ServiceName(id).value().isEmpty();
    } catch (IllegalArgumentException invalid) {
      return false;
    }
  }
}
