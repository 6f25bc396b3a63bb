package io.zinniawood.core.entry.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Hashing;
import java.util.Comparator;

/** Chooses among equivalent endpoints. */
public final class Choice {
  private Choice() {}

  /**
   * Returns the candidate with the earliest virtual time: smooth weighted selection, corrected by
   * the load. Ties go to the lower id, so that the choice can be repeated.
   */
  public static Option<Stage> smooth(Vector<Stage> candidates) {
    double earliestPass = earliestPass(candidates);
    return candidates.minBy(
        Comparator.<Stage>comparingDouble(stage -> stage.score(earliestPass))
            .thenComparing(stage -> stage.member().endpoint()));
  }

  /**
   * Returns the candidate that a prefix prefers as long as its load is within the bound, otherwise
   * the smooth choice.
   *
   * @param candidates equivalent endpoints
   * @param prefixHash hash of the start of the prompt
   * @param loadFactor load relative to the mean up to which the preference holds
   */
  public static Option<Stage> byPrefix(
      Vector<Stage> candidates, long prefixHash, double loadFactor) {
    double weights = candidates.map(Stage::weight).sum().doubleValue();
    double loads = candidates.map(Stage::load).sum().doubleValue();
    return candidates
        .maxBy(
            Comparator.<Stage>comparingDouble(stage -> affinity(stage, prefixHash))
                .thenComparing(stage -> stage.member().endpoint()))
        .filter(
            stage ->
                stage.load() + 1 <= Math.ceil(loadFactor * (loads + 1) * stage.weight() / weights))
        .orElse(() -> smooth(candidates));
  }

  /**
   * Returns the virtual time below which no candidate may lie. An endpoint that was away would
   * otherwise get all work until its virtual time has caught up.
   */
  public static double earliestPass(Vector<Stage> candidates) {
    double earliest = 0;
    for (Stage stage : candidates) {
      earliest = Math.max(earliest, stage.member().workload().pass() - 1 / stage.weight());
    }
    return earliest;
  }

  /** Weighted rendezvous hashing: the highest value wins, in proportion to the weights. */
  private static double affinity(Stage stage, long prefixHash) {
    long hash = Hashing.combine(prefixHash, Hashing.of(stage.member().endpoint().value()));
    return stage.weight() / -Math.log(Math.max(Double.MIN_NORMAL, Hashing.toUnitInterval(hash)));
  }
}
