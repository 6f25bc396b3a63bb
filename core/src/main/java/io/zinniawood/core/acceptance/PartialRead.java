package io.zinniawood.core.acceptance;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;

/**
 * Files that failed rounds read. They were read after the row, so while the row keeps its version,
 * no accepted set contains a later version of a file, and reusing the files reverts no edit.
 *
 * @param rowVersion version of the accepted row in those rounds
 * @param files files that were read
 */
public record PartialRead(long rowVersion, SortedMap<String, FolderFile> files) {
  /** Contains no files. */
  public static final PartialRead NONE = new PartialRead(0, TreeMap.empty());

  /** Returns the files of the round in progress and those of earlier rounds. */
  static PartialRead of(AcceptanceState state) {
    PartialRead earlier =
        state.partialRead().rowVersion() == state.rowVersion() ? state.partialRead() : NONE;
    if (state.phase() instanceof AcceptancePhase.ReadingFiles reading) {
      return new PartialRead(state.rowVersion(), reading.files().merge(earlier.files()));
    }
    if (state.phase() instanceof AcceptancePhase.RelistingFolder relisting) {
      return new PartialRead(state.rowVersion(), relisting.files().merge(earlier.files()));
    }
    return earlier;
  }
}
