package io.zinniawood.config.internal;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Specification of a TOML table.
 *
 * @param name first part of the path, empty for the root table
 * @param shape nesting of the table in the file
 * @param fields keys of the table
 */
public record TableSpec(String name, Shape shape, Vector<Field<?>> fields) {
  /** Nesting of a table in the file. */
  public enum Shape {
    /** Root table: its keys precede all table headers. */
    ROOT,
    /** Single table {@code [name]}. */
    SINGLE,
    /** Tables {@code [name.<id>]}, one for each id. */
    NAMED
  }

  /** Returns the number of parts in the dotted path of a key. */
  public int keyDepth() {
    return switch (shape) {
      case ROOT -> 1;
      case SINGLE -> 2;
      case NAMED -> 3;
    };
  }

  /** Returns the field with the given name, none if the table has no such key. */
  public Option<Field<?>> field(String fieldName) {
    return fields.find(field -> field.name().equals(fieldName));
  }

  /** Returns the names of the fields. */
  public Vector<String> fieldNames() {
    return fields.map(Field::name);
  }
}
