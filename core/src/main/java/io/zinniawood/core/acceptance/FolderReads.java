package io.zinniawood.core.acceptance;

import io.vavr.collection.Set;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.zinniawood.core.model.PackedStoreVersion;
import io.zinniawood.core.runtime.Step;

/**
 * Reads the folder as one consistent set of files: lists it, reads the files, lists it again, and
 * confirms that files which are no longer listed were removed.
 */
final class FolderReads {
  /** Time within which two versions of one file are reported as a possible lost edit. */
  static final long OVERWRITE_WINDOW_NANOS = 60_000_000_000L;

  /**
   * Bounds the load when a new entry reads every file of the folder: the store serves about 2,000
   * reads per second to all processes together.
   */
  static final int MAX_PARALLEL_READS = 32;

  private FolderReads() {}

  static Step<AcceptanceState, AcceptanceEffect> listed(
      AcceptanceState state, long nowNanos, AcceptanceEvent.FolderListed event) {
    if (event.completeness() == AcceptanceEvent.Completeness.PARTIAL) {
      return Rounds.retry(
          state,
          new AcceptanceNotice.Inconsistent(
              "the store returned an incomplete listing of the configuration folder"));
    }
    TreeMap<String, String> listing = AcceptedRowReads.versionsByName(event.files());
    OverwriteDetection overwrites =
        OverwriteDetection.observe(state, nowNanos, listing)
            .expireUnlisted(nowNanos, listing.keySet());
    Step<AcceptanceState, AcceptanceEffect> step;
    if (state.phase() instanceof AcceptancePhase.ListingFolder) {
      step = firstListing(overwrites.state(), listing);
    } else if (state.phase() instanceof AcceptancePhase.RelistingFolder relisting) {
      step = secondListing(overwrites.state(), relisting, listing);
    } else {
      return Step.of(state);
    }
    return new Step<>(step.state(), overwrites.notices().appendAll(step.effects()));
  }

  static Step<AcceptanceState, AcceptanceEffect> fileRead(
      AcceptanceState state, long nowNanos, AcceptanceEvent.FileRead event) {
    if (state.phase() instanceof AcceptancePhase.ReadingFiles reading) {
      return listedFileRead(state, nowNanos, reading, event);
    }
    if (state.phase() instanceof AcceptancePhase.ConfirmingRemovals confirming) {
      return missingFileRead(state, confirming, event);
    }
    return Step.of(state);
  }

  private static Step<AcceptanceState, AcceptanceEffect> firstListing(
      AcceptanceState state, TreeMap<String, String> listing) {
    AcceptanceState.Evaluation evaluation =
        new AcceptanceState.Evaluation(listing, state.rowVersion());
    if (state.lastEvaluation().contains(evaluation)) {
      return Rounds.finish(state);
    }
    if (listing.isEmpty()) {
      return Proposals.reject(
          state,
          listing,
          Vector.of(
              "the configuration folder is empty: found no file that ends in .toml, expected at"
                  + " least one"));
    }
    SortedMap<String, FolderFile> reusable = reusableFiles(state, listing);
    Vector<String> unread = TreeSet.ofAll(listing.keySet()).removeAll(reusable.keySet()).toVector();
    if (unread.isEmpty()) {
      return relistFolder(state, listing, reusable);
    }
    Vector<String> first = unread.take(MAX_PARALLEL_READS);
    return new Step<>(
        state.withPhase(
            new AcceptancePhase.ReadingFiles(
                listing, first.toSet(), unread.drop(MAX_PARALLEL_READS), reusable)),
        Vector.of(Rounds.stepTimer())
            .appendAll(first.map(name -> new AcceptanceEffect.ReadFile(state.round(), name))));
  }

  /**
   * Returns the files that need not be read again. A file of an earlier merge is reused only if its
   * version is in the accepted set: the listing may be stale, and another entry may have accepted a
   * later version.
   */
  private static SortedMap<String, FolderFile> reusableFiles(
      AcceptanceState state, TreeMap<String, String> listing) {
    SortedMap<String, FolderFile> accepted =
        state
            .mergedFiles()
            .filterValues(file -> state.acceptedFiles().get(file.name()).contains(file.version()));
    SortedMap<String, FolderFile> read =
        state.partialRead().rowVersion() == state.rowVersion()
            ? state.partialRead().files()
            : TreeMap.empty();
    return listed(accepted, listing).merge(listed(read, listing));
  }

  private static SortedMap<String, FolderFile> listed(
      SortedMap<String, FolderFile> files, TreeMap<String, String> listing) {
    return files.filterValues(file -> listing.get(file.name()).contains(file.version()));
  }

  private static Step<AcceptanceState, AcceptanceEffect> listedFileRead(
      AcceptanceState state,
      long nowNanos,
      AcceptancePhase.ReadingFiles reading,
      AcceptanceEvent.FileRead event) {
    if (!reading.inFlight().contains(event.name())) {
      return Step.of(state);
    }
    String listed = reading.listing().get(event.name()).getOrElse("");
    String present = event.file().map(FolderFile::version).getOrElse("none");
    if (event.file().isEmpty() || !listed.equals(present)) {
      OverwriteDetection overwrites =
          event.file().isEmpty()
              ? new OverwriteDetection(state, Vector.empty())
              : OverwriteDetection.observe(state, nowNanos, TreeMap.of(event.name(), present));
      Step<AcceptanceState, AcceptanceEffect> retried =
          Rounds.retry(
              overwrites.state(),
              new AcceptanceNotice.Inconsistent(
                  "file %s changed while it was read: listed version %s, read version %s"
                      .formatted(event.name(), listed, present)));
      return new Step<>(retried.state(), overwrites.notices().appendAll(retried.effects()));
    }
    SortedMap<String, FolderFile> files = reading.files().put(event.name(), event.file().get());
    Vector<String> next = reading.queued().take(1);
    Set<String> inFlight = reading.inFlight().remove(event.name()).addAll(next);
    if (inFlight.isEmpty()) {
      return relistFolder(state, reading.listing(), files);
    }
    return new Step<>(
        state.withPhase(
            new AcceptancePhase.ReadingFiles(
                reading.listing(), inFlight, reading.queued().drop(1), files)),
        Vector.of(Rounds.stepTimer())
            .appendAll(next.map(name -> new AcceptanceEffect.ReadFile(state.round(), name))));
  }

  private static Step<AcceptanceState, AcceptanceEffect> relistFolder(
      AcceptanceState state,
      SortedMap<String, String> listing,
      SortedMap<String, FolderFile> files) {
    return Step.of(
        state.withPhase(new AcceptancePhase.RelistingFolder(listing, files)),
        Rounds.stepTimer(),
        new AcceptanceEffect.ListFolder(state.round()));
  }

  private static Step<AcceptanceState, AcceptanceEffect> secondListing(
      AcceptanceState state,
      AcceptancePhase.RelistingFolder relisting,
      TreeMap<String, String> listing) {
    if (!listing.equals(relisting.listing())) {
      return Rounds.retry(
          state,
          new AcceptanceNotice.Inconsistent("the configuration folder changed while it was read"));
    }
    Set<String> missing =
        TreeSet.ofAll(state.acceptedFiles().keySet())
            .addAll(state.mergedFiles().keySet())
            .removeAll(listing.keySet());
    if (missing.isEmpty()) {
      return merge(state, listing, relisting.files());
    }
    return new Step<>(
        state.withPhase(
            new AcceptancePhase.ConfirmingRemovals(listing, relisting.files(), missing)),
        Vector.of(Rounds.stepTimer())
            .appendAll(
                missing
                    .toVector()
                    .map(name -> new AcceptanceEffect.ReadFile(state.round(), name))));
  }

  private static Step<AcceptanceState, AcceptanceEffect> missingFileRead(
      AcceptanceState state,
      AcceptancePhase.ConfirmingRemovals confirming,
      AcceptanceEvent.FileRead event) {
    if (!confirming.unconfirmed().contains(event.name())) {
      return Step.of(state);
    }
    if (event.file().isDefined()) {
      return Rounds.retry(
          state,
          new AcceptanceNotice.Inconsistent(
              "file %s is missing from the listing but still exists".formatted(event.name())));
    }
    Set<String> unconfirmed = confirming.unconfirmed().remove(event.name());
    if (unconfirmed.isEmpty()) {
      return merge(state, confirming.listing(), confirming.files());
    }
    return Step.of(
        state.withPhase(
            new AcceptancePhase.ConfirmingRemovals(
                confirming.listing(), confirming.files(), unconfirmed)),
        Rounds.stepTimer());
  }

  private static Step<AcceptanceState, AcceptanceEffect> merge(
      AcceptanceState state,
      SortedMap<String, String> listing,
      SortedMap<String, FolderFile> files) {
    FolderHistory history =
        state
            .folderHistory()
            .inEra(PackedStoreVersion.era(state.rowVersion()), listing, files, state.mergedFiles());
    SortedMap<String, FolderFile> current =
        history.withoutRestored(listing, files, state.mergedFiles());
    return Step.of(
        state
            .copy()
            .folderHistory(history)
            .phase(new AcceptancePhase.Merging(listing, current))
            .build(),
        Rounds.stepTimer(),
        new AcceptanceEffect.MergeFiles(state.round(), current.values().toVector()));
  }
}
