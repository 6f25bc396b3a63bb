package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.CrashSubject;
import io.zinniawood.core.id.PromptPartId;
import io.zinniawood.core.id.RequestFingerprint;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** A crash and its possible causes, joined from what several routers saw. */
final class CrashRecord {
  /**
   * Maximum number of candidates. The cause is among those that waited longest, as an endpoint
   * begins to write in the order of arrival.
   */
  static final int MAX_CANDIDATES = 32;

  private static final Comparator<CrashCandidate> LONGEST_WAIT_FIRST =
      Comparator.comparingLong(CrashCandidate::waitedMillis)
          .reversed()
          .thenComparing(CrashCandidate::subject);

  final CrashId id;
  long atNanos;
  private List<CrashCandidate> candidates = List.of();

  /** Subject held back that explains the crash, so that it is no evidence against others. */
  Optional<CrashSubject> cause = Optional.empty();

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
      Optional<CrashCandidate> known = find(joined, candidate.subject());
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

  Optional<CrashCandidate> find(CrashSubject subject) {
    return find(candidates, subject);
  }

  private static Optional<CrashCandidate> find(List<CrashCandidate> among, CrashSubject subject) {
    for (CrashCandidate candidate : among) {
      if (candidate.subject().equals(subject)) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns whether a subject may take the crash over as its cause: a part may explain what a
   * request with it is held for, once other requests with it crash endpoints as well.
   */
  boolean explainableBy(CrashSubject subject) {
    return cause.isEmpty()
        || (subject instanceof PromptPartId && cause.get() instanceof RequestFingerprint);
  }

  /** Returns the time at which the request of a candidate was sent to the endpoint. */
  long sentNanos(CrashSubject subject) {
    return atNanos - TimeUnit.MILLISECONDS.toNanos(find(subject).orElseThrow().waitedMillis());
  }

  /** Returns whether the subject may have caused the crash, given the first events seen since. */
  boolean mayBeCause(CrashSubject subject, SubjectHistory history) {
    return find(subject).isPresent() && !history.soundSince(subject, atNanos);
  }

  /**
   * Returns the rank of a candidate by its wait, from 0, among those of its kind that may be the
   * cause: other requests prove the parts of a request sound, but not the request itself.
   */
  int rank(CrashSubject subject, SubjectHistory history) {
    CrashCandidate candidate = find(subject).orElseThrow();
    if (candidate.startOrder() == StartOrder.UNKNOWN) {
      return 0;
    }
    long waitedMillis = candidate.waitedMillis();
    return (int)
        candidates.stream()
            .filter(other -> other.waitedMillis() > waitedMillis)
            .filter(other -> other.subject().getClass().equals(subject.getClass()))
            .filter(other -> mayBeCause(other.subject(), history))
            .mapToLong(CrashCandidate::waitedMillis)
            .distinct()
            .count();
  }
}
