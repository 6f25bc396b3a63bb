package io.zinniawood.core.acceptance;

import io.vavr.collection.Vector;
import io.zinniawood.core.id.Generation;

/**
 * Observation that reports and logs show. The process logs notices with {@code toString}, so the
 * names of the records and of their components are part of log lines.
 */
public sealed interface AcceptanceNotice {
  /**
   * This entry accepted an edit.
   *
   * @param generation new generation
   * @param changedFiles names of the files that were added, edited or removed
   */
  record Accepted(Generation generation, Vector<String> changedFiles) implements AcceptanceNotice {}

  /**
   * The folder was read and is equal to the configuration in force, for example after a rejected
   * edit was undone.
   *
   * @param inForce generation in force
   */
  record Unchanged(Generation inForce) implements AcceptanceNotice {}

  /**
   * The folder was not accepted; the configuration in force is kept.
   *
   * @param inForce generation in force, 0 if there is none
   * @param faults one line for each fault
   * @param files files that were read
   */
  record Rejected(Generation inForce, Vector<String> faults, Vector<FileVersion> files)
      implements AcceptanceNotice {}

  /**
   * A file was written twice within a short time, so an operator may have overwritten the edit of
   * another one without having read it.
   *
   * @param file file name without the folder
   * @param replacedVersion version that was overwritten
   * @param presentVersion version in the store now
   * @param replacedInForce whether the overwritten version was in force
   */
  record Overwritten(
      String file, String replacedVersion, String presentVersion, boolean replacedInForce)
      implements AcceptanceNotice {}

  /**
   * The folder could not be read as one consistent set; the next round reads it again.
   *
   * @param detail explanation for the operator
   */
  record Inconsistent(String detail) implements AcceptanceNotice {}

  /**
   * A call to the store failed or timed out; the next round tries again.
   *
   * @param detail explanation for the operator
   * @param failures consecutive failed rounds
   */
  record StoreTrouble(String detail, int failures) implements AcceptanceNotice {}
}
