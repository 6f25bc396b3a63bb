package io.zinniawood.core.acceptance;

import io.vavr.collection.Set;
import io.vavr.collection.SortedMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Detects files that were written twice within a short time.
 *
 * @param state state with the updated observed versions
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

  /** Removes files that are not listed and whose version was found before the overwrite window. */
  OverwriteDetection expireUnlisted(long nowNanos, Set<String> listed) {
    return new OverwriteDetection(
        state
            .copy()
            .observedVersions(
                state
                    .observedVersions()
                    .filter(
                        (name, observed) ->
                            listed.contains(name)
                                || nowNanos - observed.firstSeenNanos()
                                    < FolderReads.OVERWRITE_WINDOW_NANOS))
            .build(),
        notices);
  }

  private OverwriteDetection observeFile(long nowNanos, String name, String version) {
    Option<ObservedVersion> last = state.observedVersions().get(name);
    if (last.exists(observed -> observed.version().equals(version))) {
      return this;
    }
    // A version that is found first after a start may be old, so it never counts as a recent edit.
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
        last.exists(
            observed -> nowNanos - observed.firstSeenNanos() < FolderReads.OVERWRITE_WINDOW_NANOS);
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
