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
  static final long OVERLAP_NANOS = 60_000_000_000L;

  private FolderReads() {}

  static Step<AcceptanceState, AcceptanceEffect> listed(
      AcceptanceState state, long nowNanos, AcceptanceEvent.FolderListed event) {
    if (event.completeness() == AcceptanceEvent.Completeness.PARTIAL) {
      return Rounds.retry(
          state, new AcceptanceNotice.Inconsistent("the listing of the folder is incomplete"));
    }
    TreeMap<String, String> listing = AcceptedRows.versions(event.files());
    Sightings seen = Sightings.observe(state, nowNanos, listing).forget(nowNanos, listing.keySet());
    Step<AcceptanceState, AcceptanceEffect> step;
    if (state.phase() instanceof AcceptancePhase.Listing) {
      step = firstListing(seen.state(), listing);
    } else if (state.phase() instanceof AcceptancePhase.ListingAgain again) {
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
    if (state.evaluated().contains(seen)) {
      return Rounds.finish(state);
    }
    if (listing.isEmpty()) {
      return Proposals.reject(
          state,
          listing,
          Vector.of(
              "the folder is empty: found no file that ends in .toml, expected at least one"));
    }
    SortedMap<String, FolderFile> known =
        state
            .texts()
            .filterValues(
                file ->
                    listing.get(file.name()).contains(file.version())
                        && state.acceptedFiles().get(file.name()).contains(file.version()));
    Set<String> pending = TreeSet.ofAll(listing.keySet()).removeAll(known.keySet());
    if (pending.isEmpty()) {
      return listAgain(state, listing, known);
    }
    return new Step<>(
        state.withPhase(new AcceptancePhase.ReadingFiles(listing, pending, known)),
        Vector.of(Rounds.stepTimer())
            .appendAll(
                pending
                    .toVector()
                    .map(name -> new AcceptanceEffect.ReadFile(state.round(), name))));
  }

  private static Step<AcceptanceState, AcceptanceEffect> listedFileRead(
      AcceptanceState state,
      long nowNanos,
      AcceptancePhase.ReadingFiles reading,
      AcceptanceEvent.FileRead event) {
    if (!reading.pending().contains(event.name())) {
      return Step.of(state);
    }
    String listed = reading.listing().get(event.name()).getOrElse("");
    String present = event.file().map(FolderFile::version).getOrElse("none");
    if (event.file().isEmpty() || !listed.equals(present)) {
      Sightings seen =
          event.file().isEmpty()
              ? new Sightings(state, Vector.empty())
              : Sightings.observe(state, nowNanos, TreeMap.of(event.name(), present));
      Step<AcceptanceState, AcceptanceEffect> retried =
          Rounds.retry(
              seen.state(),
              new AcceptanceNotice.Inconsistent(
                  "file %s changed while it was read: listed version %s, read version %s"
                      .formatted(event.name(), listed, present)));
      return new Step<>(retried.state(), seen.notices().appendAll(retried.effects()));
    }
    Set<String> pending = reading.pending().remove(event.name());
    SortedMap<String, FolderFile> files = reading.files().put(event.name(), event.file().get());
    if (pending.isEmpty()) {
      return listAgain(state, reading.listing(), files);
    }
    return Step.of(
        state.withPhase(new AcceptancePhase.ReadingFiles(reading.listing(), pending, files)),
        Rounds.stepTimer());
  }

  private static Step<AcceptanceState, AcceptanceEffect> listAgain(
      AcceptanceState state,
      SortedMap<String, String> listing,
      SortedMap<String, FolderFile> files) {
    return Step.of(
        state.withPhase(new AcceptancePhase.ListingAgain(listing, files)),
        Rounds.stepTimer(),
        new AcceptanceEffect.ListFolder(state.round()));
  }

  private static Step<AcceptanceState, AcceptanceEffect> secondListing(
      AcceptanceState state, AcceptancePhase.ListingAgain again, TreeMap<String, String> listing) {
    if (!listing.equals(again.listing())) {
      return Rounds.retry(
          state, new AcceptanceNotice.Inconsistent("the folder changed while it was read"));
    }
    Set<String> missing =
        TreeSet.ofAll(state.acceptedFiles().keySet())
            .addAll(state.texts().keySet())
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
    if (!confirming.pending().contains(event.name())) {
      return Step.of(state);
    }
    if (event.file().isDefined()) {
      return Rounds.retry(
          state,
          new AcceptanceNotice.Inconsistent(
              "the listing lacks file %s, which still exists".formatted(event.name())));
    }
    Set<String> pending = confirming.pending().remove(event.name());
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
