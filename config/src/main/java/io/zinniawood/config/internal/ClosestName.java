package io.zinniawood.config.internal;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/** Finds the known name that is nearest to a mistyped one. */
public final class ClosestName {
  private static final int MAX_COMPARED_CHARACTERS = 64;

  private ClosestName() {}

  /** Returns the known name with the fewest edits, none if more than half of it differs. */
  public static Option<String> find(String name, Vector<String> known) {
    if (name.length() > MAX_COMPARED_CHARACTERS) {
      return Option.none();
    }
    return known
        .minBy(candidate -> editDistance(name, candidate))
        .filter(candidate -> 2 * editDistance(name, candidate) <= candidate.length());
  }

  /** Returns the number of inserted, removed or replaced characters between two names. */
  static int editDistance(String left, String right) {
    int[] row = new int[right.length() + 1];
    for (int j = 0; j <= right.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= left.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int j = 1; j <= right.length(); j++) {
        int replaced = diagonal + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1);
        diagonal = row[j];
        row[j] = Math.min(replaced, Math.min(row[j], row[j - 1]) + 1);
      }
    }
    return row[right.length()];
  }
}
