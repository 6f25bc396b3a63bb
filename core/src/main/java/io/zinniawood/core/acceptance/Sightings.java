package io.zinniawood.core.acceptance;

import io.vavr.collection.Set;
import io.vavr.collection.SortedMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Finds files that were written twice within a short time.
 *
 * @param state state with the new sightings
 * @param notices one notice for each file that was overwritten
 */
record Sightings(AcceptanceState state, Vector<AcceptanceEffect> notices) {

  static Sightings observe(
      AcceptanceState state, long nowNanos, SortedMap<String, String> versions) {
    Sightings result = new Sightings(state, Vector.empty());
    for (String name : versions.keySet()) {
      result = result.observeFile(nowNanos, name, versions.get(name).get());
    }
    return result;
  }

  /** Drops files that are gone for longer than two edits count as overlapping. */
  Sightings forget(long nowNanos, Set<String> listed) {
    return new Sightings(
        state
            .copy()
            .sightings(
                state
                    .sightings()
                    .filter(
                        (name, seen) ->
                            listed.contains(name)
                                || nowNanos - seen.seenNanos() < FolderReads.OVERLAP_NANOS))
            .build(),
        notices);
  }

  private Sightings observeFile(long nowNanos, String name, String version) {
    Option<Sighting> last = state.sightings().get(name);
    if (last.exists(seen -> seen.version().equals(version))) {
      return this;
    }
    // The first sighting after a start may be old, so it never counts as a recent edit.
    long seenNanos =
        last.isEmpty() && state.texts().isEmpty() ? nowNanos - FolderReads.OVERLAP_NANOS : nowNanos;
    AcceptanceState next =
        state
            .copy()
            .sightings(state.sightings().put(name, new Sighting(version, seenNanos)))
            .build();
    boolean recent = last.exists(seen -> nowNanos - seen.seenNanos() < FolderReads.OVERLAP_NANOS);
    if (!recent) {
      return new Sightings(next, notices);
    }
    String replaced = last.get().version();
    return new Sightings(
        next,
        notices.append(
            new AcceptanceEffect.Notify(
                new AcceptanceNotice.Overwritten(
                    name, replaced, version, state.acceptedFiles().get(name).contains(replaced)))));
  }
}
