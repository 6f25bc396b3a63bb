package io.zinniawood.config.internal;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Kind of table in a file.
 *
 * @param name first part of the path, empty for the root
 * @param shape where its keys stand
 * @param fields keys
 */
public record TableSpec(String name, Shape shape, Vector<Field<?>> fields) {
  /** Tells where the keys of a table stand. */
  public enum Shape {
    /** At the top of the file. */
    ROOT,
    /** In {@code [name]}. */
    SINGLE,
    /** In {@code [name.<id>]}, once for each id. */
    NAMED
  }

  /** Returns the length of the path of a key. */
  public int keyDepth() {
    return switch (shape) {
      case ROOT -> 1;
      case SINGLE -> 2;
      case NAMED -> 3;
    };
  }

  /** Returns the field with the name. */
  public Option<Field<?>> field(String fieldName) {
    return fields.find(field -> field.name().equals(fieldName));
  }

  /** Returns the names of the fields. */
  public Vector<String> fieldNames() {
    return fields.map(Field::name);
  }
}
