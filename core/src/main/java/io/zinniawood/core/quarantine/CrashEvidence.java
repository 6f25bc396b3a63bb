package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.CrashSubject;
import io.zinniawood.core.id.RequestFingerprint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Weighs the crashes that speak against each subject. A crash counts 1 for the candidates that
 * waited longest, 1/2 for the next ones, and so on. Crashes at the same moment may have a common
 * cause outside the requests, so they count once. A part of a prompt is suspect only if different
 * requests with it were at the crashes; otherwise the request that came back is.
 */
final class CrashEvidence {
  /** Minimum number of separate crashes; a sound subject is hit by one crash easily. */
  static final int MIN_CRASHES = 2;

  /** Minimum score: the subject waited longest in one of two crashes, and second in the other. */
  private static final double MIN_SCORE = 1.5;

  /**
   * Crashes that suffice against a request whatever its wait, if it was sent anew after one of
   * them: a sound request is seldom at so many.
   */
  private static final int SUFFICIENT_REQUEST_CRASHES = 3;

  /** Difference of scores within which the earlier success of a subject decides. */
  private static final double SIMILAR_SCORE = 0.4;

  /** Crashes within this time count once. */
  private static final long SAME_MOMENT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final SubjectHistory history;

  CrashEvidence(SubjectHistory history) {
    this.history = history;
  }

  /**
   * Subject that the crashes speak against.
   *
   * @param score sum of the weights of the crashes
   * @param crashes crashes of which the subject may be the cause
   * @param position position of the candidate in its request
   */
  record Suspect(CrashSubject subject, double score, List<CrashRecord> crashes, int position) {}

  /** Returns the subject that explains the crashes best; empty if none is suspect enough. */
  Optional<Suspect> worst(Collection<CrashRecord> crashes) {
    Map<CrashSubject, List<CrashRecord>> crashesBySubject = new HashMap<>();
    for (CrashRecord crash : crashes) {
      for (CrashCandidate candidate : crash.candidates()) {
        CrashSubject subject = candidate.subject();
        if (crash.explainableBy(subject) && crash.mayBeCause(subject, history)) {
          crashesBySubject.computeIfAbsent(subject, key -> new ArrayList<>()).add(crash);
        }
      }
    }
    List<Suspect> suspects = new ArrayList<>();
    crashesBySubject.forEach(
        (subject, among) -> {
          if (among.stream().anyMatch(crash -> crash.cause.isEmpty())
              && (subject instanceof RequestFingerprint || inDifferentRequests(subject, among))) {
            suspect(subject, among).ifPresent(suspects::add);
          }
        });
    double highest = suspects.stream().mapToDouble(Suspect::score).max().orElse(0);
    // A subject that was sound before is less likely the cause than one that never was; of those
    // that come together, the later one is shared by fewer requests.
    return suspects.stream()
        .filter(suspect -> suspect.score() >= highest - SIMILAR_SCORE)
        .min(
            Comparator.comparingLong((Suspect suspect) -> history.firstEvents(suspect.subject()))
                .thenComparing(Comparator.comparingInt(Suspect::position).reversed())
                .thenComparing(Comparator.comparingDouble(Suspect::score).reversed())
                .thenComparing(Suspect::subject));
  }

  /** Returns whether a part was in different requests, or in requests that are unknown. */
  private static boolean inDifferentRequests(CrashSubject part, List<CrashRecord> crashes) {
    Set<RequestFingerprint> requests = new HashSet<>();
    for (CrashRecord crash : crashes) {
      Optional<RequestFingerprint> request = crash.find(part).orElseThrow().request();
      if (request.isEmpty()) {
        return true;
      }
      requests.add(request.get());
    }
    return requests.size() > 1;
  }

  /**
   * Returns whether a request was at sufficient crashes, also if copies of it overlapped. Endpoints
   * that fail together run copies that were all sent before.
   */
  private static boolean crashedAnew(CrashSubject subject, List<CrashRecord> ordered) {
    if (!(subject instanceof RequestFingerprint) || ordered.size() < SUFFICIENT_REQUEST_CRASHES) {
      return false;
    }
    long firstCrashNanos = ordered.get(0).atNanos;
    return ordered.stream().anyMatch(crash -> crash.sentNanos(subject) - firstCrashNanos >= 0);
  }

  private Optional<Suspect> suspect(CrashSubject subject, List<CrashRecord> crashes) {
    List<CrashRecord> ordered = new ArrayList<>(crashes);
    ordered.sort(Comparator.comparingLong(crash -> crash.atNanos));
    double score = 0;
    int moments = 0;
    long momentNanos = 0;
    double momentWeight = 0;
    for (CrashRecord crash : ordered) {
      double weight = 1.0 / (1 + crash.rank(subject, history));
      if (moments == 0 || crash.atNanos - momentNanos > SAME_MOMENT_NANOS) {
        score += momentWeight;
        momentWeight = 0;
        momentNanos = crash.atNanos;
        moments++;
      }
      momentWeight = Math.max(momentWeight, weight);
    }
    score += momentWeight;
    boolean suspect = moments >= MIN_CRASHES && score >= MIN_SCORE;
    if (!suspect && !crashedAnew(subject, ordered)) {
      return Optional.empty();
    }
    int position = ordered.get(0).find(subject).orElseThrow().position();
    return Optional.of(new Suspect(subject, score, ordered, position));
  }
}
