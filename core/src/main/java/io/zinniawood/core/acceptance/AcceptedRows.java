package io.zinniawood.core.acceptance;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.runtime.Step;

/** Follows the accepted row and moves to higher generations only. */
final class AcceptedRows {
  private AcceptedRows() {}

  static Step<AcceptanceState, AcceptanceEffect> offered(
      AcceptanceState state, AcceptedConfiguration configuration) {
    return adopt(state, configuration);
  }

  static Step<AcceptanceState, AcceptanceEffect> rowRead(
      AcceptanceState state, AcceptanceEvent.RowRead event) {
    if (state.phase() instanceof AcceptancePhase.ReadingBack back) {
      return Proposals.readBack(state, back, event.row());
    }
    if (!(state.phase() instanceof AcceptancePhase.ReadingRow)) {
      return Step.of(state);
    }
    Generation stored =
        event.row().map(found -> found.row().generation()).getOrElse(new Generation(0));
    if (stored.compareTo(state.generation()) < 0) {
      return Rounds.retry(
          state,
          new AcceptanceNotice.Inconsistent(
              "the table shows generation %s, but generation %s is in force; the table is behind"
                  .formatted(stored, state.generation())));
    }
    AcceptanceState known = state.copy().row(event.row()).build();
    Option<String> object = event.row().map(found -> found.row().objectName());
    if (object.isEmpty() || object.equals(state.loadedObject())) {
      return listFolder(known);
    }
    return Step.of(
        known.withPhase(new AcceptancePhase.LoadingSnapshot(event.row().get())),
        Rounds.stepTimer(),
        new AcceptanceEffect.ReadSnapshot(state.round(), object.get()));
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
      return damaged(state, row);
    }
    AcceptanceState loaded =
        state
            .copy()
            .loadedObject(Option.of(row.objectName()))
            .acceptedFiles(versions(usable.get().files()))
            .snapshots(
                state.snapshots().append(row.objectName()).takeRight(Proposals.KEPT_SNAPSHOTS))
            .build();
    Step<AcceptanceState, AcceptanceEffect> adopted = adopt(loaded, usable.get().configuration());
    Step<AcceptanceState, AcceptanceEffect> listed = listFolder(adopted.state());
    return new Step<>(listed.state(), adopted.effects().appendAll(listed.effects()));
  }

  /** Takes over a configuration if its generation is higher than the one in force. */
  static Step<AcceptanceState, AcceptanceEffect> adopt(
      AcceptanceState state, AcceptedConfiguration configuration) {
    if (configuration.generation().compareTo(state.generation()) <= 0) {
      return Step.of(state);
    }
    return Step.of(
        state.copy().inForce(Option.of(configuration)).build(),
        new AcceptanceEffect.Publish(configuration));
  }

  static TreeMap<String, String> versions(Vector<FileVersion> files) {
    return files.foldLeft(
        TreeMap.<String, String>empty(), (map, file) -> map.put(file.name(), file.version()));
  }

  /**
   * Goes on without the accepted file set, because otherwise no edit could ever replace a damaged
   * snapshot. The next generation still has to come from a complete folder.
   */
  private static Step<AcceptanceState, AcceptanceEffect> damaged(
      AcceptanceState state, AcceptedRow row) {
    AcceptanceNotice notice =
        new AcceptanceNotice.Inconsistent(
            "the snapshot %s of generation %s is missing or damaged"
                .formatted(row.objectName(), row.generation()));
    if (state.mode() == PollMode.FOLLOWING) {
      return Rounds.retry(state, notice);
    }
    Step<AcceptanceState, AcceptanceEffect> listed =
        listFolder(state.copy().acceptedFiles(TreeMap.empty()).build());
    return new Step<>(
        listed.state(),
        Vector.<AcceptanceEffect>of(new AcceptanceEffect.Notify(notice))
            .appendAll(listed.effects()));
  }

  private static Step<AcceptanceState, AcceptanceEffect> listFolder(AcceptanceState state) {
    if (state.mode() == PollMode.FOLLOWING) {
      return Rounds.finish(state);
    }
    return Step.of(
        state.withPhase(new AcceptancePhase.Listing()),
        Rounds.stepTimer(),
        new AcceptanceEffect.ListFolder(state.round()));
  }
}
