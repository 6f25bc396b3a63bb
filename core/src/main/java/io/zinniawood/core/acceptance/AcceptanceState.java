package io.zinniawood.core.acceptance;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.VmId;

/**
 * State of the acceptance reducer.
 *
 * @param self VM of this entry
 * @param randomState state of the pseudo-random generator for jitter and attempt ids
 * @param round number of the current or last round
 * @param consecutiveFailures failed rounds since the last one that succeeded or made progress
 * @param mode whether the entry reads the folder
 * @param pollIntervalNanos interval between rounds in nanoseconds
 * @param roundRequested whether another round starts as soon as the current one ends
 * @param phase step of the round in progress
 * @param inForce configuration in force
 * @param rowVersion version of the accepted row as last read or written, also if the row does not
 *     exist
 * @param row accepted row as last read or written
 * @param loadedSnapshotName name of the last snapshot that was loaded or written
 * @param acceptedFiles version of each file of that snapshot, empty if the snapshot of the row is
 *     missing or damaged
 * @param mergedFiles files of the last valid merge
 * @param folderHistory earlier texts of the files
 * @param partialRead files of failed rounds that the next round can reuse
 * @param lastEvaluation listing that was last evaluated, with the row version at that time
 * @param observedVersions last seen version of each file
 * @param snapshotNames names of the snapshots that were loaded or written, oldest first
 */
public record AcceptanceState(
    VmId self,
    long randomState,
    long round,
    int consecutiveFailures,
    PollMode mode,
    long pollIntervalNanos,
    boolean roundRequested,
    AcceptancePhase phase,
    Option<AcceptedConfiguration> inForce,
    long rowVersion,
    Option<VersionedRow> row,
    Option<String> loadedSnapshotName,
    SortedMap<String, String> acceptedFiles,
    SortedMap<String, FolderFile> mergedFiles,
    FolderHistory folderHistory,
    PartialRead partialRead,
    Option<Evaluation> lastEvaluation,
    SortedMap<String, ObservedVersion> observedVersions,
    Vector<String> snapshotNames) {

  /** Leaves time for two rounds, as an edit must be in force on all entries within 6 s. */
  static final long DEFAULT_POLL_INTERVAL_NANOS = 2_000_000_000L;

  /**
   * Listing that was accepted, rejected or found unchanged.
   *
   * @param listing version of each file
   * @param rowVersion version of the accepted row that the result was compared with
   */
  public record Evaluation(SortedMap<String, String> listing, long rowVersion) {}

  /** Returns the state before the first event; the mode is {@code FOLLOWING}. */
  public static AcceptanceState initial(VmId self, long seed) {
    return new AcceptanceState(
        self,
        seed,
        0,
        0,
        PollMode.FOLLOWING,
        DEFAULT_POLL_INTERVAL_NANOS,
        false,
        new AcceptancePhase.Idle(),
        Option.none(),
        0,
        Option.none(),
        Option.none(),
        TreeMap.empty(),
        TreeMap.empty(),
        FolderHistory.EMPTY,
        PartialRead.NONE,
        Option.none(),
        TreeMap.empty(),
        Vector.empty());
  }

  /** Returns the generation in force, 0 if there is none. */
  public Generation generationInForce() {
    return inForce.map(AcceptedConfiguration::generation).getOrElse(new Generation(0));
  }

  /** Returns this state with another interval between rounds, in nanoseconds. */
  public AcceptanceState withPollIntervalNanos(long value) {
    return copy().pollIntervalNanos(value).build();
  }

  AcceptanceState withPhase(AcceptancePhase value) {
    return copy().phase(value).build();
  }

  AcceptanceStateBuilder copy() {
    return new AcceptanceStateBuilder(this);
  }
}
