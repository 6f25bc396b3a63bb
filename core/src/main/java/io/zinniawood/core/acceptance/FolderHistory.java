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
 * @param digest digest of the last configuration of which all texts are known
 * @param digestWithTexts digest of the last configuration whose texts were written to or read from
 *     the store in this era
 * @param earlierTexts texts of each file before the present one, oldest first, none for a time at
 *     which it did not exist
 * @param restored version, none if not listed, of each file that went back to an earlier text and
 *     has not been written since
 */
record FolderHistory(
    long era,
    Option<String> digest,
    Option<String> digestWithTexts,
    SortedMap<String, Vector<Option<String>>> earlierTexts,
    SortedMap<String, Option<String>> restored) {
  /** Covers the edits of the seconds that a restore can lose. */
  private static final int MAX_TEXTS_PER_FILE = 16;

  static final FolderHistory EMPTY =
      new FolderHistory(0, Option.none(), Option.none(), TreeMap.empty(), TreeMap.empty());

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
    return new FolderHistory(era, Option.of(mergedDigest), digestWithTexts, texts, restored);
  }

  /** Records that the store has the texts of the last configuration. */
  FolderHistory withTextsInStore() {
    return new FolderHistory(era, digest, digest, earlierTexts, restored);
  }

  /**
   * Returns the files of a configuration that another entry accepted. After a restore that entry
   * may know less than this one, so a text that this entry saw replaced does not count.
   *
   * @param merged files of the last valid merge of this entry
   */
  SortedMap<String, FolderFile> filesOf(
      AcceptedRow row, AcceptedSnapshot snapshot, SortedMap<String, FolderFile> merged) {
    SortedMap<String, FolderFile> accepted = filesByName(snapshot.mergedFiles());
    return row.era() <= era
        ? accepted
        : withMerged(namesWithEarlierText(accepted, merged), accepted, merged);
  }

  /**
   * Records a configuration that another entry accepted.
   *
   * @param before files of the last valid merge of this entry
   * @param after result of {@link #filesOf}
   */
  FolderHistory afterAcceptance(
      AcceptedRow row,
      AcceptedSnapshot snapshot,
      SortedMap<String, FolderFile> before,
      SortedMap<String, FolderFile> after) {
    SortedMap<String, String> listing = AcceptedRowReads.versionsByName(snapshot.files());
    Vector<String> notInFolder =
        Proposals.changedFiles(listing, after.mapValues(FolderFile::version));
    FolderHistory merged = afterMerge(row.digest(), before, after);
    return new FolderHistory(
        Math.max(era, row.era()),
        merged.digest(),
        merged.digest(),
        merged.earlierTexts(),
        versions(notInFolder, listing));
  }

  private static SortedMap<String, FolderFile> filesByName(Vector<FolderFile> files) {
    return files.foldLeft(
        TreeMap.<String, FolderFile>empty(), (map, file) -> map.put(file.name(), file));
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
    SortedMap<String, Option<String>> wentBack =
        versions(namesWithEarlierText(files, merged), listing);
    return new FolderHistory(present, digest, Option.none(), earlierTexts, wentBack);
  }

  private static SortedMap<String, Option<String>> versions(
      Vector<String> names, SortedMap<String, String> listing) {
    return names.foldLeft(
        TreeMap.<String, Option<String>>empty(), (map, name) -> map.put(name, listing.get(name)));
  }

  /** Returns the names of the files with a text that an edit replaced before. */
  private Vector<String> namesWithEarlierText(
      SortedMap<String, FolderFile> files, SortedMap<String, FolderFile> merged) {
    return names(files, merged)
        .toVector()
        .filter(
            name ->
                !text(files, name).equals(text(merged, name))
                    && earlierTexts.getOrElse(name, Vector.empty()).contains(text(files, name)));
  }

  /** Returns the files of the folder, with the merged text of each file that went back. */
  SortedMap<String, FolderFile> withoutRestored(
      SortedMap<String, String> listing,
      SortedMap<String, FolderFile> files,
      SortedMap<String, FolderFile> merged) {
    Vector<String> unchanged =
        restored.keySet().toVector().filter(name -> restored.get(name).contains(listing.get(name)));
    return withMerged(unchanged, files, merged);
  }

  /** Returns the files, with the merged text, or none, of each named one. */
  private static SortedMap<String, FolderFile> withMerged(
      Vector<String> names,
      SortedMap<String, FolderFile> files,
      SortedMap<String, FolderFile> merged) {
    return files.removeAll(names).merge(merged.filterKeys(names::contains));
  }

  private static Option<String> text(SortedMap<String, FolderFile> files, String name) {
    return files.get(name).map(FolderFile::text);
  }

  private static TreeSet<String> names(
      SortedMap<String, FolderFile> one, SortedMap<String, FolderFile> other) {
    return TreeSet.ofAll(one.keySet()).addAll(other.keySet());
  }
}
