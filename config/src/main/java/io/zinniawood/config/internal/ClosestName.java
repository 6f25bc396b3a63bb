package io.zinniawood.config.internal;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/** Finds the known name that is most similar to a mistyped one. */
public final class ClosestName {
  /** Longer names are not compared, which bounds the cost of the edit distance. */
  private static final int MAX_COMPARED_CHARACTERS = 64;

  private ClosestName() {}

  /**
   * Returns the known name with the smallest edit distance, none if the distance exceeds half of
   * the length of that name.
   */
  public static Option<String> find(String name, Vector<String> known) {
    if (name.length() > MAX_COMPARED_CHARACTERS) {
      return Option.none();
    }
    return known
        .minBy(candidate -> editDistance(name, candidate))
        .filter(candidate -> 2 * editDistance(name, candidate) <= candidate.length());
  }

  /** Returns the Levenshtein distance: the number of characters inserted, removed or replaced. */
  static int editDistance(String left, String right) {
    int[] distances = new int[right.length() + 1];
    for (int j = 0; j <= right.length(); j++) {
      distances[j] = j;
    }
    for (int i = 1; i <= left.length(); i++) {
      int diagonal = distances[0];
      distances[0] = i;
      for (int j = 1; j <= right.length(); j++) {
        int substitution = diagonal + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1);
        diagonal = distances[j];
        distances[j] = Math.min(substitution, Math.min(distances[j], distances[j - 1]) + 1);
      }
    }
    return distances[right.length()];
  }
}
