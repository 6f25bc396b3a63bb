package io.zinniawood.config.internal;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Values of one or more checked documents by path.
 *
 * @param values value of each key
 * @param tables first position of each table
 */
public record ValueTree(
    Map<Vector<String>, LocatedValue> values, Map<Vector<String>, LocatedValue> tables) {

  /** Returns the tree without values. */
  public static ValueTree empty() {
    return new ValueTree(HashMap.empty(), HashMap.empty());
  }

  /** Returns this tree with the values of a later document; they replace earlier ones. */
  public ValueTree merge(TomlDocument later) {
    // Merging in the other direction would copy the whole tree for each file.
    return new ValueTree(
        later.values().foldLeft(values, (merged, entry) -> merged.put(entry)),
        tables.merge(later.tables()));
  }

  /** Returns the valid ids of the tables {@code [section.<id>]} in the order of the ids. */
  public Vector<String> tableIds(String section) {
    return TreeSet.ofAll(
            tables
                .keySet()
                .filter(
                    path ->
                        path.size() == 2
                            && path.head().equals(section)
                            && Schema.isValidId(path.last()))
                .map(Vector::last))
        .toVector();
  }

  /** Tells whether a table exists. */
  public boolean hasTable(String section) {
    return tables.containsKey(Vector.of(section));
  }

  /** Returns the position of a table or of the key at the path. */
  public Option<LocatedValue> position(Vector<String> path) {
    return values.get(path).orElse(() -> tables.get(path));
  }
}
