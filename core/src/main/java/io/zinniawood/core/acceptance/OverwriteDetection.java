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
record OverwriteDetection(AcceptanceState state, Vector<AcceptanceEffect> notices) {

  static OverwriteDetection observe(
      AcceptanceState state, long nowNanos, SortedMap<String, String> versions) {
    OverwriteDetection result = new OverwriteDetection(state, Vector.empty());
    for (String name : versions.keySet()) {
      result = result.observeFile(nowNanos, name, versions.get(name).get());
    }
    return result;
  }

  /** Drops files that are gone for longer than two edits count as overlapping. */
  OverwriteDetection expireUnlisted(long nowNanos, Set<String> listed) {
    return new OverwriteDetection(
        state
            .copy()
            .observedVersions(
                state
                    .observedVersions()
                    .filter(
                        (name, seen) ->
                            listed.contains(name)
                                || nowNanos - seen.firstSeenNanos()
                                    < FolderReads.OVERWRITE_WINDOW_NANOS))
            .build(),
        notices);
  }

  private OverwriteDetection observeFile(long nowNanos, String name, String version) {
    Option<ObservedVersion> last = state.observedVersions().get(name);
    if (last.exists(seen -> seen.version().equals(version))) {
      return this;
    }
    // The first sighting after a start may be old, so it never counts as a recent edit.
    long seenNanos =
        last.isEmpty() && state.mergedFiles().isEmpty()
            ? nowNanos - FolderReads.OVERWRITE_WINDOW_NANOS
            : nowNanos;
    AcceptanceState next =
        state
            .copy()
            .observedVersions(
                state.observedVersions().put(name, new ObservedVersion(version, seenNanos)))
            .build();
    boolean recent =
        last.exists(seen -> nowNanos - seen.firstSeenNanos() < FolderReads.OVERWRITE_WINDOW_NANOS);
    if (!recent) {
      return new OverwriteDetection(next, notices);
    }
    String replaced = last.get().version();
    return new OverwriteDetection(
        next,
        notices.append(
            new AcceptanceEffect.Notify(
                new AcceptanceNotice.Overwritten(
                    name, replaced, version, state.acceptedFiles().get(name).contains(replaced)))));
  }
}
