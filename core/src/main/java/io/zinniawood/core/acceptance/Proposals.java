package io.zinniawood.core.acceptance;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.model.PackedStoreVersion;
import io.zinniawood.core.runtime.Step;

/** Evaluates a merge of the folder and writes a valid, changed one as the next generation. */
final class Proposals {
  /** Lets an entry that read the row a few generations ago still load the snapshot of that row. */
  static final int MAX_KEPT_SNAPSHOTS = 16;

  private Proposals() {}

  static Step<AcceptanceState, AcceptanceEffect> mergeFinished(
      AcceptanceState state, MergeOutcome outcome) {
    if (!(state.phase() instanceof AcceptancePhase.Merging merging)) {
      return Step.of(state);
    }
    if (outcome instanceof MergeOutcome.Invalid invalid) {
      return reject(state, merging.listing(), invalid.faults());
    }
    MergeOutcome.Valid valid = (MergeOutcome.Valid) outcome;
    if (isAccepted(state, merging, valid)) {
      return unchanged(state, merging, valid);
    }
    if (lacksTextsInForce(state, valid)) {
      AcceptedConfiguration inForce = state.inForce().get();
      AcceptancePhase.Merging notMerged =
          new AcceptancePhase.Merging(merging.listing(), TreeMap.empty());
      return propose(state, notMerged, new MergeOutcome.Valid(inForce.cluster(), inForce.digest()));
    }
    return propose(state, merging, valid);
  }

  /**
   * Tells whether the accepted row stands for the present folder. After a restore, an entry that
   * knows the lost files may have accepted them for the folder as it is now.
   */
  private static boolean isAccepted(
      AcceptanceState state, AcceptancePhase.Merging merging, MergeOutcome.Valid valid) {
    return state
        .row()
        .map(VersionedRow::row)
        .exists(
            row ->
                state.loadedSnapshotName().contains(row.objectName())
                    && state.inForce().exists(c -> c.digest().equals(row.digest()))
                    && ((row.digest().equals(valid.digest()) && !lacksTextsInStore(state, row))
                        || (row.era() > 0
                            && !state.folderHistory().digest().contains(row.digest())
                            && state.acceptedFiles().equals(merging.listing()))));
  }

  /**
   * Tells whether the row was accepted after a restore by an entry that did not know the texts,
   * which this entry can add.
   */
  private static boolean lacksTextsInStore(AcceptanceState state, AcceptedRow row) {
    return row.era() > 0
        && row.era() == PackedStoreVersion.era(state.rowVersion())
        && !state.folderHistory().digestWithTexts().contains(row.digest());
  }

  /**
   * Tells whether the store lost the configuration in force and this entry never read its files, so
   * that the folder may be an earlier one.
   */
  private static boolean lacksTextsInForce(AcceptanceState state, MergeOutcome.Valid valid) {
    return PackedStoreVersion.era(state.rowVersion())
            > PackedStoreVersion.era(state.generationInForce().value())
        && state
            .inForce()
            .exists(
                inForce ->
                    state.row().forAll(found -> !found.row().digest().equals(inForce.digest()))
                        && !inForce.digest().equals(valid.digest())
                        && !state.folderHistory().digest().contains(inForce.digest()));
  }

  static Step<AcceptanceState, AcceptanceEffect> reject(
      AcceptanceState state, SortedMap<String, String> listing, Vector<String> faults) {
    return withNotice(
        Rounds.finish(withEvaluation(state, listing)),
        new AcceptanceNotice.Rejected(state.generationInForce(), faults, fileVersions(listing)));
  }

  static Step<AcceptanceState, AcceptanceEffect> snapshotWritten(AcceptanceState state) {
    if (!(state.phase() instanceof AcceptancePhase.WritingSnapshot writing)) {
      return Step.of(state);
    }
    Proposal proposal = writing.proposal();
    return Step.of(
        state.withPhase(new AcceptancePhase.WritingRow(proposal, writing.files())),
        Rounds.stepTimer(),
        new AcceptanceEffect.WriteRow(state.round(), proposal.expectedVersion(), proposal.row()));
  }

  static Step<AcceptanceState, AcceptanceEffect> rowWritten(AcceptanceState state, long version) {
    if (state.phase() instanceof AcceptancePhase.WritingRow writing) {
      return accepted(state, writing.proposal(), writing.files(), version);
    }
    if (state.phase() instanceof AcceptancePhase.ReadingBackRow readingBack) {
      return accepted(state, readingBack.proposal(), readingBack.files(), version);
    }
    return Step.of(state);
  }

  static Step<AcceptanceState, AcceptanceEffect> rowReadBack(
      AcceptanceState state,
      AcceptancePhase.ReadingBackRow readingBack,
      long version,
      Option<VersionedRow> row) {
    AcceptedRow proposed = readingBack.proposal().row();
    if (isOwnAttempt(proposed, row) && isOfExpectedEra(readingBack.proposal(), version)) {
      return accepted(state, readingBack.proposal(), readingBack.files(), version);
    }
    if (version > readingBack.proposal().expectedVersion()) {
      return otherEntryAccepted(state, proposed, row);
    }
    // The write may still take effect, so the snapshot is kept. The next round proposes against the
    // same row version, so at most one of the two writes succeeds.
    return Rounds.retry(
        state,
        new AcceptanceNotice.StoreTrouble(
            "the row of generation %s was not written".formatted(proposed.generation()),
            state.consecutiveFailures() + 1));
  }

  /**
   * Treats a conflict with a row of the own attempt as success: a client library may send a write
   * twice, and the second copy then conflicts with the first.
   */
  static Step<AcceptanceState, AcceptanceEffect> rowConflicted(
      AcceptanceState state, Option<VersionedRow> present) {
    if (!(state.phase() instanceof AcceptancePhase.WritingRow writing)) {
      return Step.of(state);
    }
    Proposal proposal = writing.proposal();
    return isOwnAttempt(proposal.row(), present)
            && isOfExpectedEra(proposal, present.get().version())
        ? accepted(state, proposal, writing.files(), present.get().version())
        : otherEntryAccepted(state, proposal.row(), present);
  }

  static Step<AcceptanceState, AcceptanceEffect> storeFailed(
      AcceptanceState state, StoreFailure failure) {
    if (state.phase() instanceof AcceptancePhase.WritingRow writing
        && failure.kind() == StoreFailure.Kind.RESPONSE_LOST) {
      return Step.of(
          state.withPhase(new AcceptancePhase.ReadingBackRow(writing.proposal(), writing.files())),
          Rounds.stepTimer(),
          new AcceptanceEffect.ReadRow(state.round()));
    }
    return Rounds.retry(
        state,
        new AcceptanceNotice.StoreTrouble(failure.detail(), state.consecutiveFailures() + 1));
  }

  private static Step<AcceptanceState, AcceptanceEffect> propose(
      AcceptanceState state, AcceptancePhase.Merging merging, MergeOutcome.Valid valid) {
    long random = Rounds.nextRandom(state.randomState());
    Generation generation =
        new Generation(
            Math.max(
                    state.rowVersion(),
                    state.row().map(found -> found.row().generation().value()).getOrElse(0L))
                + 1);
    AttemptId attempt =
        new AttemptId("%s-%d-%s".formatted(state.self(), state.round(), Long.toHexString(random)));
    // The attempt id makes the name unique: two entries can merge the same text from different file
    // versions, and neither may overwrite the object of the other.
    String objectName = "accepted/%s-%s-%s".formatted(generation, valid.digest(), attempt);
    AcceptedSnapshot snapshot =
        new AcceptedSnapshot(
            new AcceptedConfiguration(generation, valid.digest(), valid.cluster()),
            fileVersions(merging.listing()),
            merging.files().values().toVector());
    Proposal proposal =
        new Proposal(
            state.rowVersion(),
            new AcceptedRow(generation, valid.digest(), objectName, attempt),
            snapshot);
    return Step.of(
        state
            .copy()
            .randomState(random)
            .phase(new AcceptancePhase.WritingSnapshot(proposal, merging.files()))
            .build(),
        Rounds.stepTimer(),
        new AcceptanceEffect.WriteSnapshot(state.round(), objectName, snapshot));
  }

  private static Step<AcceptanceState, AcceptanceEffect> accepted(
      AcceptanceState state,
      Proposal proposal,
      SortedMap<String, FolderFile> files,
      long rowVersion) {
    AcceptedRow row = proposal.row();
    TreeMap<String, String> versions = AcceptedRowReads.versionsByName(proposal.snapshot().files());
    Vector<String> changed = changedFiles(state.acceptedFiles(), versions);
    Vector<String> snapshots = state.snapshotNames().append(row.objectName());
    AcceptanceState written =
        state
            .copy()
            .row(rowVersion, Option.of(new VersionedRow(rowVersion, row)))
            .loadedSnapshotName(Option.of(row.objectName()))
            .acceptedFiles(versions)
            .mergedFiles(files.isEmpty() ? state.mergedFiles() : files)
            .folderHistory(
                files.isEmpty()
                    ? state.folderHistory()
                    : state
                        .folderHistory()
                        .afterMerge(row.digest(), state.mergedFiles(), files)
                        .withTextsInStore())
            .snapshotNames(snapshots.takeRight(MAX_KEPT_SNAPSHOTS))
            .build();
    Step<AcceptanceState, AcceptanceEffect> adopted =
        AcceptedRowReads.adoptIfNewer(
            withEvaluation(written, versions), proposal.snapshot().configuration());
    Step<AcceptanceState, AcceptanceEffect> finished = Rounds.finish(adopted.state());
    return new Step<>(
        finished.state(),
        adopted
            .effects()
            .append(
                new AcceptanceEffect.Notify(
                    new AcceptanceNotice.Accepted(row.generation(), changed)))
            .appendAll(
                snapshots.dropRight(MAX_KEPT_SNAPSHOTS).map(AcceptanceEffect.DeleteSnapshot::new))
            .appendAll(finished.effects()));
  }

  private static Step<AcceptanceState, AcceptanceEffect> unchanged(
      AcceptanceState state, AcceptancePhase.Merging merging, MergeOutcome.Valid valid) {
    AcceptanceState evaluated =
        withEvaluation(state, merging.listing())
            .copy()
            .mergedFiles(merging.files())
            .folderHistory(
                state
                    .folderHistory()
                    .afterMerge(valid.digest(), state.mergedFiles(), merging.files()))
            .build();
    return withNotice(
        Rounds.finish(evaluated), new AcceptanceNotice.Unchanged(state.generationInForce()));
  }

  private static Step<AcceptanceState, AcceptanceEffect> withNotice(
      Step<AcceptanceState, AcceptanceEffect> step, AcceptanceNotice notice) {
    return new Step<>(
        step.state(),
        Vector.<AcceptanceEffect>of(new AcceptanceEffect.Notify(notice)).appendAll(step.effects()));
  }

  /** A write that took effect in another era may have replaced a row that was never read. */
  private static boolean isOfExpectedEra(Proposal proposal, long version) {
    return PackedStoreVersion.era(version) == PackedStoreVersion.era(proposal.expectedVersion());
  }

  private static boolean isOwnAttempt(AcceptedRow proposed, Option<VersionedRow> row) {
    return row.exists(found -> found.row().attempt().equals(proposed.attempt()));
  }

  /**
   * Ends a round in which another entry wrote the row first, and starts a round that compares the
   * folder with the new row. The own snapshot is deleted only if the other entry wrote the same
   * generation: if the row has a higher generation, the own row may have been in force before.
   */
  private static Step<AcceptanceState, AcceptanceEffect> otherEntryAccepted(
      AcceptanceState state, AcceptedRow proposed, Option<VersionedRow> present) {
    Step<AcceptanceState, AcceptanceEffect> finished =
        Rounds.finish(state.copy().roundRequested(true).build());
    boolean neverInForce =
        !isOwnAttempt(proposed, present)
            && present.exists(found -> found.row().generation().equals(proposed.generation()));
    Vector<AcceptanceEffect> deletion =
        neverInForce
            ? Vector.of(new AcceptanceEffect.DeleteSnapshot(proposed.objectName()))
            : Vector.empty();
    return new Step<>(finished.state(), deletion.appendAll(finished.effects()));
  }

  private static AcceptanceState withEvaluation(
      AcceptanceState state, SortedMap<String, String> listing) {
    return state
        .copy()
        .lastEvaluation(Option.of(new AcceptanceState.Evaluation(listing, state.rowVersion())))
        .build();
  }

  private static Vector<FileVersion> fileVersions(SortedMap<String, String> listing) {
    return listing.toVector().map(entry -> new FileVersion(entry._1(), entry._2()));
  }

  /** Returns the names of the files that have another version, or exist in one of the two only. */
  static Vector<String> changedFiles(
      SortedMap<String, String> before, SortedMap<String, String> after) {
    return TreeSet.ofAll(before.keySet())
        .addAll(after.keySet())
        .filter(name -> !before.get(name).equals(after.get(name)))
        .toVector();
  }
}
