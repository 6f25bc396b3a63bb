package io.zinniawood.core.entry.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Hashing;
import io.zinniawood.core.model.LayerRange;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/** Chooses a chain of endpoints whose layer ranges join without gap or overlap. */
public final class ChainSelector {
  private ChainSelector() {}

  /**
   * Returns a chain, or none if the stages do not cover the range.
   *
   * @param stages endpoints that may be chosen
   * @param range layers to cover
   * @param prefixHash hash of the start of the prompt
   * @param affinityLoadFactor load relative to the mean up to which affinity holds
   */
  public static Option<Vector<Stage>> choose(
      Vector<Stage> stages, LayerRange range, long prefixHash, double affinityLoadFactor) {
    Set<Integer> useful = layersThatReachTheEnd(stages, range);
    Vector<Stage> chain = Vector.empty();
    int layer = range.fromLayer();
    while (layer < range.toLayerExclusive()) {
      int from = layer;
      Vector<Stage> candidates =
          stages.filter(
              stage ->
                  stage.layers().fromLayer() == from
                      && useful.contains(stage.layers().toLayerExclusive()));
      if (candidates.isEmpty()) {
        return Option.none();
      }
      Stage stage = choose(candidates, prefixHash, affinityLoadFactor);
      chain = chain.append(stage);
      layer = stage.layers().toLayerExclusive();
    }
    return Option.some(chain);
  }

  /**
   * Returns the candidate that the prefix prefers if its load is within the bound, otherwise the
   * one with the earliest virtual time.
   */
  private static Stage choose(Vector<Stage> candidates, long prefixHash, double loadFactor) {
    double weights = candidates.map(Stage::weight).sum().doubleValue();
    double loads = candidates.map(stage -> stage.member().inFlight()).sum().doubleValue();
    return candidates
        .sorted(Comparator.comparingDouble(stage -> -affinity(stage, prefixHash)))
        .headOption()
        .filter(
            stage ->
                stage.member().inFlight() + 1
                    <= Math.ceil(loadFactor * (loads + 1) * stage.weight() / weights))
        .getOrElse(() -> earliest(candidates));
  }

  private static Stage earliest(Vector<Stage> candidates) {
    return candidates
        .minBy(
            Comparator.comparingDouble(Stage::score)
                .thenComparing(stage -> stage.member().endpoint()))
        .get();
  }

  /** Weighted rendezvous hashing: the highest value wins, in proportion to the weights. */
  private static double affinity(Stage stage, long prefixHash) {
    long hash = Hashing.combine(prefixHash, Hashing.of(stage.member().endpoint().value()));
    return stage.weight() / -Math.log(Math.max(Double.MIN_NORMAL, Hashing.unit(hash)));
  }

  private static Set<Integer> layersThatReachTheEnd(Vector<Stage> stages, LayerRange range) {
    Set<Integer> useful = new HashSet<>();
    useful.add(range.toLayerExclusive());
    for (Stage stage : stages.sortBy(stage -> -stage.layers().fromLayer())) {
      if (useful.contains(stage.layers().toLayerExclusive())
          && stage.layers().fromLayer() >= range.fromLayer()) {
        useful.add(stage.layers().fromLayer());
      }
    }
    return useful;
  }
}
