package io.zinniawood.core.acceptance;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.model.PackedStoreVersion;
import io.zinniawood.core.runtime.Step;

/**
 * Reads the accepted row and its snapshot, and adopts configurations of higher generations only.
 */
final class AcceptedRowReads {
  private AcceptedRowReads() {}

  static Step<AcceptanceState, AcceptanceEffect> peerConfigurationReceived(
      AcceptanceState state, AcceptedConfiguration configuration) {
    Step<AcceptanceState, AcceptanceEffect> adopted = adoptIfNewer(state, configuration);
    if (adopted.effects().isEmpty()) {
      return adopted;
    }
    if (state.mode() == PollMode.FOLLOWING) {
      return new Step<>(
          withoutOtherTexts(adopted.state(), configuration.digest()), adopted.effects());
    }
    // Reads the texts before the store can lose them.
    Step<AcceptanceState, AcceptanceEffect> started = Rounds.startOrRequest(adopted.state());
    return new Step<>(started.state(), adopted.effects().appendAll(started.effects()));
  }

  static Step<AcceptanceState, AcceptanceEffect> rowRead(
      AcceptanceState state, AcceptanceEvent.RowRead event) {
    if (state.phase() instanceof AcceptancePhase.ReadingBackRow readingBack) {
      return Proposals.rowReadBack(state, readingBack, event.version(), event.row());
    }
    if (!(state.phase() instanceof AcceptancePhase.ReadingRow)) {
      return Step.of(state);
    }
    Generation stored =
        event.row().map(found -> found.row().generation()).getOrElse(new Generation(0));
    boolean restored =
        PackedStoreVersion.era(event.version())
            > PackedStoreVersion.era(state.generationInForce().value());
    if (stored.compareTo(state.generationInForce()) < 0 && !restored) {
      return Rounds.retry(
          state,
          new AcceptanceNotice.Inconsistent(
              "the table has generation %s, but generation %s is in force; the table is stale"
                  .formatted(stored, state.generationInForce())));
    }
    AcceptanceState withRow = state.copy().row(event.version(), event.row()).build();
    Option<String> snapshotName = event.row().map(found -> found.row().objectName());
    if (snapshotName.isEmpty() || snapshotName.equals(state.loadedSnapshotName())) {
      return listFolderIfPolling(withRow);
    }
    return Step.of(
        withRow.withPhase(new AcceptancePhase.LoadingSnapshot(event.row().get())),
        Rounds.stepTimer(),
        new AcceptanceEffect.ReadSnapshot(state.round(), snapshotName.get()));
  }

  static Step<AcceptanceState, AcceptanceEffect> snapshotRead(
      AcceptanceState state, AcceptanceEvent.SnapshotRead event) {
    if (!(state.phase() instanceof AcceptancePhase.LoadingSnapshot loading)) {
      return Step.of(state);
    }
    AcceptedRow row = loading.row().row();
    Option<AcceptedSnapshot> usable =
        event
            .snapshot()
            .filter(
                found ->
                    found.configuration().generation().equals(row.generation())
                        && found.configuration().digest().equals(row.digest()));
    if (usable.isEmpty()) {
      return snapshotUnusable(state, row);
    }
    AcceptanceState loaded =
        state
            .copy()
            .loadedSnapshotName(Option.of(row.objectName()))
            .acceptedFiles(versionsByName(usable.get().files()))
            .snapshotNames(
                state
                    .snapshotNames()
                    .append(row.objectName())
                    .takeRight(Proposals.MAX_KEPT_SNAPSHOTS))
            .build();
    Step<AcceptanceState, AcceptanceEffect> adopted =
        isOfEarlierEra(loading.row()) && state.inForce().isDefined()
            ? Step.of(loaded)
            : adoptIfNewer(withTexts(loaded, row, usable.get()), usable.get().configuration());
    Step<AcceptanceState, AcceptanceEffect> listed = listFolderIfPolling(adopted.state());
    return new Step<>(listed.state(), adopted.effects().appendAll(listed.effects()));
  }

  /** Forgets texts of another configuration, as later edits are not read in this mode. */
  private static AcceptanceState withoutOtherTexts(AcceptanceState state, String digest) {
    return state.folderHistory().digest().contains(digest)
        ? state
        : state.copy().mergedFiles(TreeMap.empty()).folderHistory(FolderHistory.EMPTY).build();
  }

  private static AcceptanceState withTexts(
      AcceptanceState state, AcceptedRow row, AcceptedSnapshot snapshot) {
    if (snapshot.mergedFiles().isEmpty()) {
      return state;
    }
    FolderHistory history = state.folderHistory();
    SortedMap<String, FolderFile> files = history.filesOf(row, snapshot, state.mergedFiles());
    return state
        .copy()
        .folderHistory(history.afterAcceptance(row, snapshot, state.mergedFiles(), files))
        .mergedFiles(files)
        .build();
  }

  /**
   * Tells whether a row may have been accepted in an era that the store has lost in part. Another
   * row with the same generation may have been in force.
   */
  private static boolean isOfEarlierEra(VersionedRow row) {
    return row.row().era() < PackedStoreVersion.era(row.version());
  }

  /** Adopts and publishes a configuration if its generation is higher than the one in force. */
  static Step<AcceptanceState, AcceptanceEffect> adoptIfNewer(
      AcceptanceState state, AcceptedConfiguration configuration) {
    if (configuration.generation().compareTo(state.generationInForce()) <= 0) {
      return Step.of(state);
    }
    return Step.of(
        state.copy().inForce(Option.of(configuration)).build(),
        new AcceptanceEffect.Publish(configuration));
  }

  static TreeMap<String, String> versionsByName(Vector<FileVersion> files) {
    return files.foldLeft(
        TreeMap.<String, String>empty(), (map, file) -> map.put(file.name(), file.version()));
  }

  /**
   * Continues without the accepted file set, because otherwise no edit could replace a damaged
   * snapshot. The next generation still requires a complete listing of the folder.
   */
  private static Step<AcceptanceState, AcceptanceEffect> snapshotUnusable(
      AcceptanceState state, AcceptedRow row) {
    AcceptanceNotice notice =
        new AcceptanceNotice.Inconsistent(
            "snapshot %s of generation %s is missing or damaged"
                .formatted(row.objectName(), row.generation()));
    if (state.mode() == PollMode.FOLLOWING) {
      return Rounds.retry(state, notice);
    }
    Step<AcceptanceState, AcceptanceEffect> listed =
        listFolderIfPolling(state.copy().acceptedFiles(TreeMap.empty()).build());
    return new Step<>(
        listed.state(),
        Vector.<AcceptanceEffect>of(new AcceptanceEffect.Notify(notice))
            .appendAll(listed.effects()));
  }

  private static Step<AcceptanceState, AcceptanceEffect> listFolderIfPolling(
      AcceptanceState state) {
    if (state.mode() == PollMode.FOLLOWING) {
      return Rounds.finish(state);
    }
    return Step.of(
        state.withPhase(new AcceptancePhase.ListingFolder()),
        Rounds.stepTimer(),
        new AcceptanceEffect.ListFolder(state.round()));
  }
}
