package io.zinniawood.config.internal;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Merged values of one or more TOML documents by path.
 *
 * @param values value and position by path of the key
 * @param tables first position by path of the table
 */
public record ValueTree(
    Map<Vector<String>, LocatedValue> values, Map<Vector<String>, LocatedValue> tables) {

  /** Returns a tree without values. */
  public static ValueTree empty() {
    return new ValueTree(HashMap.empty(), HashMap.empty());
  }

  /** Merges a later document into this tree; its values replace earlier ones. */
  public ValueTree merge(TomlDocument later) {
    // Adding the smaller document to the tree avoids copying the whole tree for each file.
    return new ValueTree(
        later.values().foldLeft(values, (merged, entry) -> merged.put(entry)),
        tables.merge(later.tables()));
  }

  /** Returns the valid ids of the tables {@code [section.<id>]}, sorted. */
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

  /** Returns whether any document has the top-level table. */
  public boolean hasTable(String section) {
    return tables.containsKey(Vector.of(section));
  }

  /** Returns the key or table at the path with its position, none if there is neither. */
  public Option<LocatedValue> position(Vector<String> path) {
    return values.get(path).orElse(() -> tables.get(path));
  }
}
