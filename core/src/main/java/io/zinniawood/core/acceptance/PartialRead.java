package io.zinniawood.core.acceptance;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;

/**
 * Files that a failed round read. They were read after the row had this version, so while it has
 * the same version, no accepted set has a later version of them, and using them reverts nothing.
 *
 * @param rowVersion version of the accepted row in that round
 * @param files files that were read
 */
public record PartialRead(long rowVersion, SortedMap<String, FolderFile> files) {
  /** No files. */
  public static final PartialRead NONE = new PartialRead(0, TreeMap.empty());

  /** Returns the files of the round in progress with those of earlier rounds. */
  static PartialRead of(AcceptanceState state) {
    PartialRead before =
        state.partialRead().rowVersion() == state.rowVersion() ? state.partialRead() : NONE;
    if (state.phase() instanceof AcceptancePhase.ReadingFiles reading) {
      return new PartialRead(state.rowVersion(), reading.files().merge(before.files()));
    }
    if (state.phase() instanceof AcceptancePhase.RelistingFolder again) {
      return new PartialRead(state.rowVersion(), again.files().merge(before.files()));
    }
    return before;
  }
}
