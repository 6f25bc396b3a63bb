package io.zinniawood.core.acceptance;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.VmId;

/**
 * State of the acceptance.
 *
 * @param self entry that runs it
 * @param randomState state of the random sequence for jitter and attempt ids
 * @param round number of the present or last round
 * @param consecutiveFailures failed rounds in a row
 * @param mode whether the entry reads the folder
 * @param pollIntervalNanos interval between rounds in nanoseconds
 * @param roundRequested whether another round follows the present one at once
 * @param phase step of the round in progress
 * @param inForce configuration in force
 * @param row accepted row as this round read it
 * @param loadedSnapshotName snapshot object that {@code acceptedFiles} came from
 * @param acceptedFiles version of each file of the accepted set
 * @param mergedFiles files of the last valid merge
 * @param partialRead files of failed rounds that the next round need not read again
 * @param lastEvaluation listing that was last merged, with the row version at that time
 * @param observedVersions last seen version of each file
 * @param snapshotNames names of the snapshots that were in force, oldest first
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
    Option<VersionedRow> row,
    Option<String> loadedSnapshotName,
    SortedMap<String, String> acceptedFiles,
    SortedMap<String, FolderFile> mergedFiles,
    PartialRead partialRead,
    Option<Evaluation> lastEvaluation,
    SortedMap<String, ObservedVersion> observedVersions,
    Vector<String> snapshotNames) {

  /** An edit has to be in force everywhere within 6 s; 2 s leaves time for two rounds. */
  static final long DEFAULT_POLL_INTERVAL_NANOS = 2_000_000_000L;

  /**
   * Listing that was merged.
   *
   * @param listing version of each file
   * @param rowVersion version of the accepted row that the result was compared with
   */
  public record Evaluation(SortedMap<String, String> listing, long rowVersion) {}

  /** Returns the state before the first event. */
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
        Option.none(),
        Option.none(),
        TreeMap.empty(),
        TreeMap.empty(),
        PartialRead.NONE,
        Option.none(),
        TreeMap.empty(),
        Vector.empty());
  }

  /** Returns the generation in force, 0 if there is none. */
  public Generation generationInForce() {
    return inForce.map(AcceptedConfiguration::generation).getOrElse(new Generation(0));
  }

  /** Returns the version of the accepted row, 0 if it does not exist. */
  public long rowVersion() {
    return row.map(VersionedRow::version).getOrElse(0L);
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
