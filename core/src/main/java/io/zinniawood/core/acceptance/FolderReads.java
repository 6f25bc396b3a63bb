package io.zinniawood.core.acceptance;

import io.vavr.collection.Set;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.zinniawood.core.runtime.Step;

/** Reads the folder as one consistent set of files. */
final class FolderReads {
  /** Two versions of a file within this time are reported as a possible lost edit. */
  static final long OVERWRITE_WINDOW_NANOS = 60_000_000_000L;

  /**
   * A new entry reads every file of the folder; the store takes about 2,000 reads a second from all
   * processes together.
   */
  static final int MAX_PARALLEL_READS = 32;

  private FolderReads() {}

  static Step<AcceptanceState, AcceptanceEffect> listed(
      AcceptanceState state, long nowNanos, AcceptanceEvent.FolderListed event) {
    if (event.completeness() == AcceptanceEvent.Completeness.PARTIAL) {
      return Rounds.retry(
          state, new AcceptanceNotice.Inconsistent("the listing of the folder is incomplete"));
    }
    TreeMap<String, String> listing = AcceptedRowReads.versionsByName(event.files());
    OverwriteDetection seen =
        OverwriteDetection.observe(state, nowNanos, listing)
            .expireUnlisted(nowNanos, listing.keySet());
    Step<AcceptanceState, AcceptanceEffect> step;
    if (state.phase() instanceof AcceptancePhase.ListingFolder) {
      step = firstListing(seen.state(), listing);
    } else if (state.phase() instanceof AcceptancePhase.RelistingFolder again) {
      step = secondListing(seen.state(), again, listing);
    } else {
      return Step.of(state);
    }
    return new Step<>(step.state(), seen.notices().appendAll(step.effects()));
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
    AcceptanceState.Evaluation seen = new AcceptanceState.Evaluation(listing, state.rowVersion());
    if (state.lastEvaluation().contains(seen)) {
      return Rounds.finish(state);
    }
    if (listing.isEmpty()) {
      return Proposals.reject(
          state,
          listing,
          Vector.of(
              "the folder is empty: found no file that ends in .toml, expected at least one"));
    }
    SortedMap<String, FolderFile> known = reusableFiles(state, listing);
    Vector<String> unknown = TreeSet.ofAll(listing.keySet()).removeAll(known.keySet()).toVector();
    if (unknown.isEmpty()) {
      return relistFolder(state, listing, known);
    }
    Vector<String> first = unknown.take(MAX_PARALLEL_READS);
    return new Step<>(
        state.withPhase(
            new AcceptancePhase.ReadingFiles(
                listing, first.toSet(), unknown.drop(MAX_PARALLEL_READS), known)),
        Vector.of(Rounds.stepTimer())
            .appendAll(first.map(name -> new AcceptanceEffect.ReadFile(state.round(), name))));
  }

  /**
   * Returns the files that need no reading. The text of an earlier round counts only while its
   * version is in the accepted set: a listing may be old, and another entry may have accepted a
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
      OverwriteDetection seen =
          event.file().isEmpty()
              ? new OverwriteDetection(state, Vector.empty())
              : OverwriteDetection.observe(state, nowNanos, TreeMap.of(event.name(), present));
      Step<AcceptanceState, AcceptanceEffect> retried =
          Rounds.retry(
              seen.state(),
              new AcceptanceNotice.Inconsistent(
                  "file %s changed while it was read: listed version %s, read version %s"
                      .formatted(event.name(), listed, present)));
      return new Step<>(retried.state(), seen.notices().appendAll(retried.effects()));
    }
    SortedMap<String, FolderFile> files = reading.files().put(event.name(), event.file().get());
    Vector<String> next = reading.queued().take(1);
    Set<String> pending = reading.inFlight().remove(event.name()).addAll(next);
    if (pending.isEmpty()) {
      return relistFolder(state, reading.listing(), files);
    }
    return new Step<>(
        state.withPhase(
            new AcceptancePhase.ReadingFiles(
                reading.listing(), pending, reading.queued().drop(1), files)),
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
      AcceptancePhase.RelistingFolder again,
      TreeMap<String, String> listing) {
    if (!listing.equals(again.listing())) {
      return Rounds.retry(
          state, new AcceptanceNotice.Inconsistent("the folder changed while it was read"));
    }
    Set<String> missing =
        TreeSet.ofAll(state.acceptedFiles().keySet())
            .addAll(state.mergedFiles().keySet())
            .removeAll(listing.keySet());
    if (missing.isEmpty()) {
      return merge(state, listing, again.files());
    }
    return new Step<>(
        state.withPhase(new AcceptancePhase.ConfirmingRemovals(listing, again.files(), missing)),
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
              "the listing lacks file %s, which still exists".formatted(event.name())));
    }
    Set<String> pending = confirming.unconfirmed().remove(event.name());
    if (pending.isEmpty()) {
      return merge(state, confirming.listing(), confirming.files());
    }
    return Step.of(
        state.withPhase(
            new AcceptancePhase.ConfirmingRemovals(
                confirming.listing(), confirming.files(), pending)),
        Rounds.stepTimer());
  }

  private static Step<AcceptanceState, AcceptanceEffect> merge(
      AcceptanceState state,
      SortedMap<String, String> listing,
      SortedMap<String, FolderFile> files) {
    return Step.of(
        state.withPhase(new AcceptancePhase.Merging(listing, files)),
        Rounds.stepTimer(),
        new AcceptanceEffect.MergeFiles(state.round(), files.values().toVector()));
  }
}
