package io.zinniawood.config.internal;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.config.ConfigurationFault;
import java.util.ArrayList;
import java.util.List;

/** Reads typed values from a tree and collects the faults. Not thread-safe. */
public final class TableReader {
  private final ValueTree tree;
  private final String defaultFile;
  private final List<ConfigurationFault> faults = new ArrayList<>();

  /**
   * Creates a reader.
   *
   * @param tree values to read
   * @param defaultFile file name for faults without a position
   */
  public TableReader(ValueTree tree, String defaultFile) {
    this.tree = tree;
    this.defaultFile = defaultFile;
  }

  /** Returns the tree that the values are read from. */
  public ValueTree tree() {
    return tree;
  }

  /**
   * Returns the value of a key or its default; records a fault and returns none if the value is
   * invalid, or missing without a default.
   */
  public <T> Option<T> get(Vector<String> table, Field<T> field) {
    Vector<String> path = table.append(field.name());
    Option<LocatedValue> located = tree.values().get(path);
    if (located.isEmpty()) {
      if (field.defaultValue().isEmpty()) {
        addFault(path, "nothing", field.expected());
      }
      return field.defaultValue();
    }
    Option<T> value = field.convert().apply(located.get().value());
    if (value.isEmpty()) {
      addFault(path, located.get().text(), field.expected());
    }
    return value;
  }

  /**
   * Records a fault at the position of the key, or of its table if the key is missing, or at the
   * start of the default file.
   */
  public void addFault(Vector<String> path, String found, String expected) {
    LocatedValue position =
        tree.position(path)
            .orElse(() -> path.size() > 1 ? tree.position(path.init()) : Option.none())
            .getOrElse(new LocatedValue(defaultFile, 1, 1, ""));
    faults.add(
        new ConfigurationFault(
            position.file(),
            position.line(),
            position.column(),
            ValueFormatter.dottedKey(path),
            found,
            expected));
  }

  /** Returns the faults recorded so far. */
  public Vector<ConfigurationFault> faults() {
    return Vector.ofAll(faults);
  }
}
