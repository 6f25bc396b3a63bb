package io.zinniawood.core.acceptance;

import io.vavr.collection.SortedMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.VmId;

/** Builds a copy of an {@link AcceptanceState} with some components changed. */
final class AcceptanceStateBuilder {
  private final VmId self;
  private long randomState;
  private long round;
  private int consecutiveFailures;
  private PollMode mode;
  private long pollIntervalNanos;
  private boolean roundRequested;
  private AcceptancePhase phase;
  private Option<AcceptedConfiguration> inForce;
  private long rowVersion;
  private Option<VersionedRow> row;
  private Option<String> loadedSnapshotName;
  private SortedMap<String, String> acceptedFiles;
  private SortedMap<String, FolderFile> mergedFiles;
  private FolderHistory folderHistory;
  private PartialRead partialRead;
  private Option<AcceptanceState.Evaluation> lastEvaluation;
  private SortedMap<String, ObservedVersion> observedVersions;
  private Vector<String> snapshotNames;

  AcceptanceStateBuilder(AcceptanceState state) {
    this.self = state.self();
    this.randomState = state.randomState();
    this.round = state.round();
    this.consecutiveFailures = state.consecutiveFailures();
    this.mode = state.mode();
    this.pollIntervalNanos = state.pollIntervalNanos();
    this.roundRequested = state.roundRequested();
    this.phase = state.phase();
    this.inForce = state.inForce();
    this.rowVersion = state.rowVersion();
    this.row = state.row();
    this.loadedSnapshotName = state.loadedSnapshotName();
    this.acceptedFiles = state.acceptedFiles();
    this.mergedFiles = state.mergedFiles();
    this.folderHistory = state.folderHistory();
    this.partialRead = state.partialRead();
    this.lastEvaluation = state.lastEvaluation();
    this.observedVersions = state.observedVersions();
    this.snapshotNames = state.snapshotNames();
  }

  AcceptanceStateBuilder randomState(long value) {
    randomState = value;
    return this;
  }

  AcceptanceStateBuilder round(long value) {
    round = value;
    return this;
  }

  AcceptanceStateBuilder consecutiveFailures(int value) {
    consecutiveFailures = value;
    return this;
  }

  AcceptanceStateBuilder mode(PollMode value) {
    mode = value;
    return this;
  }

  AcceptanceStateBuilder pollIntervalNanos(long value) {
    pollIntervalNanos = value;
    return this;
  }

  AcceptanceStateBuilder roundRequested(boolean value) {
    roundRequested = value;
    return this;
  }

  AcceptanceStateBuilder phase(AcceptancePhase value) {
    phase = value;
    return this;
  }

  AcceptanceStateBuilder inForce(Option<AcceptedConfiguration> value) {
    inForce = value;
    return this;
  }

  AcceptanceStateBuilder row(long version, Option<VersionedRow> value) {
    rowVersion = version;
    row = value;
    return this;
  }

  AcceptanceStateBuilder loadedSnapshotName(Option<String> value) {
    loadedSnapshotName = value;
    return this;
  }

  AcceptanceStateBuilder acceptedFiles(SortedMap<String, String> value) {
    acceptedFiles = value;
    return this;
  }

  AcceptanceStateBuilder mergedFiles(SortedMap<String, FolderFile> value) {
    mergedFiles = value;
    return this;
  }

  AcceptanceStateBuilder folderHistory(FolderHistory value) {
    folderHistory = value;
    return this;
  }

  AcceptanceStateBuilder partialRead(PartialRead value) {
    partialRead = value;
    return this;
  }

  AcceptanceStateBuilder lastEvaluation(Option<AcceptanceState.Evaluation> value) {
    lastEvaluation = value;
    return this;
  }

  AcceptanceStateBuilder observedVersions(SortedMap<String, ObservedVersion> value) {
    observedVersions = value;
    return this;
  }

  AcceptanceStateBuilder snapshotNames(Vector<String> value) {
    snapshotNames = value;
    return this;
  }

  AcceptanceState build() {
    return new AcceptanceState(
        self,
        randomState,
        round,
        consecutiveFailures,
        mode,
        pollIntervalNanos,
        roundRequested,
        phase,
        inForce,
        rowVersion,
        row,
        loadedSnapshotName,
        acceptedFiles,
        mergedFiles,
        folderHistory,
        partialRead,
        lastEvaluation,
        observedVersions,
        snapshotNames);
  }
}
