package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.PromptPartId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Weighs the crashes that speak against each part. A crash counts 1 for the candidates that waited
 * longest, 1/2 for the next ones, and so on. Crashes at the same moment may have a common cause
 * outside the requests, so they count once.
 */
final class CrashEvidence {
  /** Minimum number of separate crashes; a sound part is hit by one crash easily. */
  static final int MIN_CRASHES = 2;

  /** Minimum score: the part waited longest in one of two crashes, and second in the other. */
  private static final double MIN_SCORE = 1.5;

  /** Difference of scores within which the earlier success of a part decides. */
  private static final double SIMILAR_SCORE = 0.4;

  /** Crashes within this time count once. */
  private static final long SAME_MOMENT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final PartHistory history;

  CrashEvidence(PartHistory history) {
    this.history = history;
  }

  /**
   * Part that the crashes speak against.
   *
   * @param score sum of the weights of the crashes
   * @param crashes crashes in which the part may be the cause
   * @param position position of the part in the prompt, from 0
   */
  record Suspect(PromptPartId part, double score, List<CrashRecord> crashes, int position) {}

  /** Returns the part that explains the crashes best; empty if none is suspect enough. */
  Optional<Suspect> worst(Collection<CrashRecord> unexplained) {
    Map<PromptPartId, List<CrashRecord>> crashesByPart = new HashMap<>();
    for (CrashRecord crash : unexplained) {
      for (CrashCandidate candidate : crash.candidates()) {
        if (crash.mayBeCause(candidate.part(), history)) {
          crashesByPart.computeIfAbsent(candidate.part(), part -> new ArrayList<>()).add(crash);
        }
      }
    }
    List<Suspect> suspects = new ArrayList<>();
    crashesByPart.forEach((part, crashes) -> suspect(part, crashes).ifPresent(suspects::add));
    double highest = suspects.stream().mapToDouble(Suspect::score).max().orElse(0);
    // A part that was sound before is less likely the cause than one that never was; of parts that
    // come together, the later one is shared by fewer requests.
    return suspects.stream()
        .filter(suspect -> suspect.score() >= highest - SIMILAR_SCORE)
        .min(
            Comparator.comparingLong((Suspect suspect) -> history.firstEvents(suspect.part()))
                .thenComparing(Comparator.comparingInt(Suspect::position).reversed())
                .thenComparing(Comparator.comparingDouble(Suspect::score).reversed())
                .thenComparing(Suspect::part));
  }

  private Optional<Suspect> suspect(PromptPartId part, List<CrashRecord> crashes) {
    List<CrashRecord> ordered = new ArrayList<>(crashes);
    ordered.sort(Comparator.comparingLong(crash -> crash.atNanos));
    double score = 0;
    int moments = 0;
    long momentNanos = 0;
    double momentWeight = 0;
    for (CrashRecord crash : ordered) {
      double weight = 1.0 / (1 + crash.rank(part, history));
      if (moments == 0 || crash.atNanos - momentNanos > SAME_MOMENT_NANOS) {
        score += momentWeight;
        momentWeight = 0;
        momentNanos = crash.atNanos;
        moments++;
      }
      momentWeight = Math.max(momentWeight, weight);
    }
    score += momentWeight;
    if (moments < MIN_CRASHES || score < MIN_SCORE) {
      return Optional.empty();
    }
    int position = ordered.get(0).find(part).orElseThrow().position();
    return Optional.of(new Suspect(part, score, ordered, position));
  }
}
