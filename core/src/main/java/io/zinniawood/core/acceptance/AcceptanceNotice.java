package io.zinniawood.core.acceptance;

import io.vavr.collection.Vector;
import io.zinniawood.core.id.Generation;

/** Observation of the acceptance that reports and logs show. */
public sealed interface AcceptanceNotice {
  /**
   * This entry accepted an edit.
   *
   * @param generation new generation
   * @param changedFiles names of the files that were added, edited or removed
   */
  record Accepted(Generation generation, Vector<String> changedFiles) implements AcceptanceNotice {}

  /**
   * The folder was read and equals what is in force, for example after a rejected edit was undone.
   *
   * @param inForce generation in force
   */
  record Unchanged(Generation inForce) implements AcceptanceNotice {}

  /**
   * The folder was not accepted; the configuration in force stays.
   *
   * @param inForce generation in force, 0 if there is none
   * @param faults one line for each fault
   * @param files files that were read
   */
  record Rejected(Generation inForce, Vector<String> faults, Vector<FileVersion> files)
      implements AcceptanceNotice {}

  /**
   * A file was written twice within a short time, so one edit may have replaced another unread.
   *
   * @param file file name
   * @param replacedVersion version that was overwritten
   * @param presentVersion version that is in the store
   * @param replacedInForce whether the overwritten version was in force
   */
  record Overwritten(
      String file, String replacedVersion, String presentVersion, boolean replacedInForce)
      implements AcceptanceNotice {}

  /**
   * The folder could not be read as one consistent set; the next round tries again.
   *
   * @param detail explanation for a person
   */
  record Inconsistent(String detail) implements AcceptanceNotice {}

  /**
   * The store did not answer a step; the next round tries again.
   *
   * @param detail explanation for a person
   * @param failures failed rounds in a row
   */
  record StoreTrouble(String detail, int failures) implements AcceptanceNotice {}
}
