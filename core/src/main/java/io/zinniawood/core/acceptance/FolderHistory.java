package io.zinniawood.core.acceptance;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Earlier texts of the configuration files. When the store comes back from a copy, they tell a file
 * that went back from one that an operator has edited since.
 *
 * @param era era of the store in which {@code restored} was determined
 * @param digest digest of the last valid merge
 * @param earlierTexts texts of each file before the present one, oldest first, none for a time at
 *     which it did not exist
 * @param restored version, none if not listed, of each file that went back to an earlier text and
 *     has not been written since
 */
record FolderHistory(
    long era,
    Option<String> digest,
    SortedMap<String, Vector<Option<String>>> earlierTexts,
    SortedMap<String, Option<String>> restored) {
  /** Covers the edits of the seconds that a restore can lose. */
  private static final int MAX_TEXTS_PER_FILE = 16;

  static final FolderHistory EMPTY =
      new FolderHistory(0, Option.none(), TreeMap.empty(), TreeMap.empty());

  /** Records the texts that a valid merge replaced. */
  FolderHistory afterMerge(
      String mergedDigest,
      SortedMap<String, FolderFile> before,
      SortedMap<String, FolderFile> after) {
    SortedMap<String, Vector<Option<String>>> texts = earlierTexts;
    if (!before.isEmpty()) {
      for (String name : names(before, after)) {
        Option<String> replaced = text(before, name);
        if (!replaced.equals(text(after, name))) {
          texts =
              texts.put(
                  name,
                  texts
                      .getOrElse(name, Vector.empty())
                      .append(replaced)
                      .takeRight(MAX_TEXTS_PER_FILE));
        }
      }
    }
    return new FolderHistory(era, Option.of(mergedDigest), texts, restored);
  }

  /** Determines, once in each era, which files went back to an earlier text. */
  FolderHistory inEra(
      long present,
      SortedMap<String, String> listing,
      SortedMap<String, FolderFile> files,
      SortedMap<String, FolderFile> merged) {
    if (present <= era) {
      return this;
    }
    SortedMap<String, Option<String>> wentBack = TreeMap.empty();
    for (String name : names(files, merged)) {
      Option<String> found = text(files, name);
      boolean earlier =
          !found.equals(text(merged, name))
              && earlierTexts.getOrElse(name, Vector.empty()).contains(found);
      if (earlier) {
        wentBack = wentBack.put(name, listing.get(name));
      }
    }
    return new FolderHistory(present, digest, earlierTexts, wentBack);
  }

  /** Returns the files of the folder, with the merged text of each file that went back. */
  SortedMap<String, FolderFile> withoutRestored(
      SortedMap<String, String> listing,
      SortedMap<String, FolderFile> files,
      SortedMap<String, FolderFile> merged) {
    SortedMap<String, FolderFile> result = files;
    for (String name : restored.keySet()) {
      if (restored.get(name).contains(listing.get(name))) {
        result =
            merged.containsKey(name)
                ? result.put(name, merged.get(name).get())
                : result.remove(name);
      }
    }
    return result;
  }

  private static Option<String> text(SortedMap<String, FolderFile> files, String name) {
    return files.get(name).map(FolderFile::text);
  }

  private static TreeSet<String> names(
      SortedMap<String, FolderFile> one, SortedMap<String, FolderFile> other) {
    return TreeSet.ofAll(one.keySet()).addAll(other.keySet());
  }
}
