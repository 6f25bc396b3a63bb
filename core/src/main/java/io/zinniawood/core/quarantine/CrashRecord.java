package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.PromptPartId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** A crash and the parts that may have caused it, joined from what several routers saw. */
final class CrashRecord {
  /**
   * Maximum number of candidates. The cause is among those that waited longest, as an endpoint
   * begins to write in the order of arrival.
   */
  static final int MAX_CANDIDATES = 16;

  private static final Comparator<CrashCandidate> LONGEST_WAIT_FIRST =
      Comparator.comparingLong(CrashCandidate::waitedMillis)
          .reversed()
          .thenComparing(CrashCandidate::part);

  final CrashId id;
  long atNanos;
  private List<CrashCandidate> candidates = List.of();

  /** Part held back that explains the crash, so that it is no evidence against other parts. */
  Optional<PromptPartId> cause = Optional.empty();

  CrashRecord(CrashId id, long atNanos) {
    this.id = id;
    this.atNanos = atNanos;
  }

  List<CrashCandidate> candidates() {
    return candidates;
  }

  /** Adds candidates that were seen by this or another router. */
  void add(List<CrashCandidate> more, long seenAtNanos) {
    atNanos = Math.min(atNanos, seenAtNanos);
    List<CrashCandidate> joined = new ArrayList<>(candidates);
    for (CrashCandidate candidate : more) {
      Optional<CrashCandidate> known = find(joined, candidate.part());
      if (known.isEmpty()) {
        joined.add(candidate);
      } else if (candidate.waitedMillis() > known.get().waitedMillis()) {
        joined.remove(known.get());
        joined.add(candidate);
      }
    }
    joined.sort(LONGEST_WAIT_FIRST);
    candidates = List.copyOf(joined.subList(0, Math.min(MAX_CANDIDATES, joined.size())));
  }

  Optional<CrashCandidate> find(PromptPartId part) {
    return find(candidates, part);
  }

  private static Optional<CrashCandidate> find(List<CrashCandidate> among, PromptPartId part) {
    for (CrashCandidate candidate : among) {
      if (candidate.part().equals(part)) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  /** Returns whether the part may have caused the crash, given the first events seen since. */
  boolean mayBeCause(PromptPartId part, PartHistory history) {
    return find(part).isPresent() && !history.soundSince(part, atNanos);
  }

  /** Returns the rank of a candidate by its wait, from 0, among those that may be the cause. */
  int rank(PromptPartId part, PartHistory history) {
    long waitedMillis = find(part).orElseThrow().waitedMillis();
    return (int)
        candidates.stream()
            .filter(other -> other.waitedMillis() > waitedMillis)
            .filter(other -> mayBeCause(other.part(), history))
            .mapToLong(CrashCandidate::waitedMillis)
            .distinct()
            .count();
  }
}
