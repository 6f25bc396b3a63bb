package io.zinniawood.core.entry.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.Hashing;
import java.util.Comparator;

/** Selects one of several equivalent endpoints. */
public final class EndpointSelector {
  private EndpointSelector() {}

  /**
   * Returns the candidate with the lowest virtual time, corrected by its load (stride scheduling).
   * Ties are broken by the lower endpoint id to make the selection deterministic.
   */
  public static Option<Stage> selectByVirtualTime(Vector<Stage> candidates) {
    double minVirtualTime = minVirtualTime(candidates);
    return candidates.minBy(
        Comparator.<Stage>comparingDouble(stage -> stage.score(minVirtualTime))
            .thenComparing(stage -> stage.member().endpoint()));
  }

  /**
   * Returns the candidate preferred by prefix affinity if its load is within the bound, otherwise
   * the one selected by virtual time.
   *
   * @param candidates equivalent endpoints
   * @param prefixHash hash of the beginning of the prompt
   * @param loadFactor maximum load relative to the weighted mean at which affinity applies
   */
  public static Option<Stage> selectByPrefix(
      Vector<Stage> candidates, long prefixHash, double loadFactor) {
    double weights = candidates.map(Stage::weight).sum().doubleValue();
    double loads = candidates.map(Stage::load).sum().doubleValue();
    return candidates
        .maxBy(
            Comparator.<Stage>comparingDouble(stage -> prefixAffinity(stage, prefixHash))
                .thenComparing(stage -> stage.member().endpoint()))
        .filter(
            stage ->
                stage.load() + 1 <= Math.ceil(loadFactor * (loads + 1) * stage.weight() / weights))
        .orElse(() -> selectByVirtualTime(candidates));
  }

  /**
   * Returns the lower bound for the virtual times of the candidates. Without it, an endpoint that
   * was absent would get all work until its virtual time has caught up.
   */
  public static double minVirtualTime(Vector<Stage> candidates) {
    double lowerBound = 0;
    for (Stage stage : candidates) {
      lowerBound =
          Math.max(lowerBound, stage.member().workload().virtualTime() - 1 / stage.weight());
    }
    return lowerBound;
  }

  /**
   * Returns the score in weighted rendezvous hashing. The highest score is selected, which gives
   * each candidate a share of the prefixes in proportion to its weight.
   */
  private static double prefixAffinity(Stage stage, long prefixHash) {
    long hash = Hashing.combine(prefixHash, Hashing.of(stage.member().endpoint().value()));
    return stage.weight() / -Math.log(Math.max(Double.MIN_NORMAL, Hashing.toUnitInterval(hash)));
  }
}
