package io.zinniawood.core.acceptance;

import io.vavr.collection.Set;
import io.vavr.collection.SortedMap;
import io.vavr.collection.Vector;

/** Step of the round in progress. */
public sealed interface AcceptancePhase {
  /** No round is in progress. */
  record Idle() implements AcceptancePhase {}

  /** The accepted row is being read. */
  record ReadingRow() implements AcceptancePhase {}

  /**
   * The snapshot of a row is being read.
   *
   * @param row row that references the snapshot
   */
  record LoadingSnapshot(VersionedRow row) implements AcceptancePhase {}

  /** The folder is being listed. */
  record ListingFolder() implements AcceptancePhase {}

  /**
   * Files are being read.
   *
   * @param listing version of each listed file
   * @param inFlight names of the files that are being read
   * @param queued names of the files to read after those
   * @param files files that were read or reused
   */
  record ReadingFiles(
      SortedMap<String, String> listing,
      Set<String> inFlight,
      Vector<String> queued,
      SortedMap<String, FolderFile> files)
      implements AcceptancePhase {}

  /**
   * The folder is being listed again, to detect changes since the first listing.
   *
   * @param listing version of each file in the first listing
   * @param files files that were read
   */
  record RelistingFolder(SortedMap<String, String> listing, SortedMap<String, FolderFile> files)
      implements AcceptancePhase {}

  /**
   * Files that are not in the listing are being read, to confirm that they were removed.
   *
   * @param listing version of each listed file
   * @param files files that were read
   * @param unconfirmed names of the missing files whose removal is not confirmed yet
   */
  record ConfirmingRemovals(
      SortedMap<String, String> listing,
      SortedMap<String, FolderFile> files,
      Set<String> unconfirmed)
      implements AcceptancePhase {}

  /**
   * The files are being merged.
   *
   * @param listing version of each listed file
   * @param files files to merge
   */
  record Merging(SortedMap<String, String> listing, SortedMap<String, FolderFile> files)
      implements AcceptancePhase {}

  /**
   * The snapshot is being written.
   *
   * @param proposal snapshot and row to write
   * @param files files that were merged, none if the configuration in force is accepted again
   */
  record WritingSnapshot(Proposal proposal, SortedMap<String, FolderFile> files)
      implements AcceptancePhase {}

  /**
   * The row is being written.
   *
   * @param proposal snapshot and row to write
   * @param files files that were merged
   */
  record WritingRow(Proposal proposal, SortedMap<String, FolderFile> files)
      implements AcceptancePhase {}

  /**
   * The row is being read back after the response to its write was lost.
   *
   * @param proposal snapshot and row; the row may have been written
   * @param files files that were merged
   */
  record ReadingBackRow(Proposal proposal, SortedMap<String, FolderFile> files)
      implements AcceptancePhase {}
}
