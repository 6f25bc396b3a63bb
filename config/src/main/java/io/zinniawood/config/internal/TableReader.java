package io.zinniawood.config.internal;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.config.ConfigurationFault;
import java.util.ArrayList;
import java.util.List;

/** Reads typed values from a tree and collects the faults. Not safe for use by several threads. */
public final class TableReader {
  private final ValueTree tree;
  private final String defaultFile;
  private final List<ConfigurationFault> faults = new ArrayList<>();

  /**
   * Creates a reader.
   *
   * @param tree values
   * @param defaultFile file to name in faults that have no position
   */
  public TableReader(ValueTree tree, String defaultFile) {
    this.tree = tree;
    this.defaultFile = defaultFile;
  }

  /** Returns the tree. */
  public ValueTree tree() {
    return tree;
  }

  /**
   * Returns a value or its default; records a fault and returns none if the value is missing or
   * wrong.
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

  /** Records a fault at the position of the key, or else of its table. */
  public void addFault(Vector<String> path, String found, String expected) {
    LocatedValue place =
        tree.position(path)
            .orElse(() -> path.size() > 1 ? tree.position(path.init()) : Option.none())
            .getOrElse(new LocatedValue(defaultFile, 1, 1, ""));
    faults.add(
        new ConfigurationFault(
            place.file(),
            place.line(),
            place.column(),
            ValueFormatter.dottedKey(path),
            found,
            expected));
  }

  /** Returns the faults so far. */
  public Vector<ConfigurationFault> faults() {
    return Vector.ofAll(faults);
  }
}
