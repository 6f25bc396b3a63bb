package io.zinniawood.core.acceptance;

import io.vavr.collection.SortedMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.VmId;

/** Copies an {@link AcceptanceState} with some components changed. */
final class AcceptanceStateBuilder {
  private final VmId self;
  private long random;
  private long round;
  private int failures;
  private PollMode mode;
  private long pollNanos;
  private boolean repeat;
  private AcceptancePhase phase;
  private Option<AcceptedConfiguration> inForce;
  private Option<VersionedRow> row;
  private Option<String> loadedObject;
  private SortedMap<String, String> acceptedFiles;
  private SortedMap<String, FolderFile> texts;
  private PartialRead partial;
  private Option<AcceptanceState.Evaluation> evaluated;
  private SortedMap<String, Sighting> sightings;
  private Vector<String> snapshots;

  AcceptanceStateBuilder(AcceptanceState state) {
    this.self = state.self();
    this.random = state.random();
    this.round = state.round();
    this.failures = state.failures();
    this.mode = state.mode();
    this.pollNanos = state.pollNanos();
    this.repeat = state.repeat();
    this.phase = state.phase();
    this.inForce = state.inForce();
    this.row = state.row();
    this.loadedObject = state.loadedObject();
    this.acceptedFiles = state.acceptedFiles();
    this.texts = state.texts();
    this.partial = state.partial();
    this.evaluated = state.evaluated();
    this.sightings = state.sightings();
    this.snapshots = state.snapshots();
  }

  AcceptanceStateBuilder random(long value) {
    random = value;
    return this;
  }

  AcceptanceStateBuilder round(long value) {
    round = value;
    return this;
  }

  AcceptanceStateBuilder failures(int value) {
    failures = value;
    return this;
  }

  AcceptanceStateBuilder mode(PollMode value) {
    mode = value;
    return this;
  }

  AcceptanceStateBuilder pollNanos(long value) {
    pollNanos = value;
    return this;
  }

  AcceptanceStateBuilder repeat(boolean value) {
    repeat = value;
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

  AcceptanceStateBuilder row(Option<VersionedRow> value) {
    row = value;
    return this;
  }

  AcceptanceStateBuilder loadedObject(Option<String> value) {
    loadedObject = value;
    return this;
  }

  AcceptanceStateBuilder acceptedFiles(SortedMap<String, String> value) {
    acceptedFiles = value;
    return this;
  }

  AcceptanceStateBuilder texts(SortedMap<String, FolderFile> value) {
    texts = value;
    return this;
  }

  AcceptanceStateBuilder partial(PartialRead value) {
    partial = value;
    return this;
  }

  AcceptanceStateBuilder evaluated(Option<AcceptanceState.Evaluation> value) {
    evaluated = value;
    return this;
  }

  AcceptanceStateBuilder sightings(SortedMap<String, Sighting> value) {
    sightings = value;
    return this;
  }

  AcceptanceStateBuilder snapshots(Vector<String> value) {
    snapshots = value;
    return this;
  }

  AcceptanceState build() {
    return new AcceptanceState(
        self,
        random,
        round,
        failures,
        mode,
        pollNanos,
        repeat,
        phase,
        inForce,
        row,
        loadedObject,
        acceptedFiles,
        texts,
        partial,
        evaluated,
        sightings,
        snapshots);
  }
}
