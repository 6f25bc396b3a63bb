package io.zinniawood.core.entry.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.entry.routing.FlowPlan.Hop;
import io.zinniawood.core.model.LayerRange;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/** Chooses a chain of endpoints whose layer ranges join without gap or overlap. */
public final class ChainSelector {
  private final Vector<Stage> stages;
  private final LayerRange range;
  private final long prefixHash;
  private final double loadFactor;
  private final FlowPlan plan;
  private final Predicate<LinkPair> degraded;

  /**
   * Prepares a choice.
   *
   * @param stages endpoints that may be chosen
   * @param range layers to cover
   * @param prefixHash hash of the start of the prompt
   * @param loadFactor load relative to the mean up to which prefix affinity holds
   * @param plan flow that the choice follows between data centres
   * @param degraded tells which links to avoid if there is another way
   */
  public ChainSelector(
      Vector<Stage> stages,
      LayerRange range,
      long prefixHash,
      double loadFactor,
      FlowPlan plan,
      Predicate<LinkPair> degraded) {
    this.stages = stages;
    this.range = range;
    this.prefixHash = prefixHash;
    this.loadFactor = loadFactor;
    this.plan = plan;
    this.degraded = degraded;
  }

  /** Returns the chosen stages, or none if the stages do not cover the range. */
  public Option<Vector<Choosing>> choose() {
    Set<Integer> useful = boundariesThatReachTheEnd();
    Vector<Choosing> chain = Vector.empty();
    int layer = range.fromLayer();
    while (layer < range.toLayerExclusive()) {
      Vector<Stage> candidates = candidates(layer, useful, chain);
      Option<Stage> chosen = Choice.byPrefix(candidates, prefixHash, loadFactor);
      if (chosen.isEmpty()) {
        return Option.none();
      }
      Stage stage = chosen.get();
      chain = chain.append(new Choosing(stage, stage.nextPass(Choice.earliestPass(candidates))));
      layer = stage.layers().toLayerExclusive();
    }
    return Option.some(chain);
  }

  private Vector<Stage> candidates(int layer, Set<Integer> useful, Vector<Choosing> chain) {
    Vector<Stage> candidates =
        stages.filter(
            stage ->
                stage.layers().fromLayer() == layer
                    && useful.contains(stage.layers().toLayerExclusive()));
    if (chain.isEmpty()) {
      return candidates;
    }
    Member previous = chain.last().stage().member();
    Vector<Stage> sound =
        candidates.reject(
            stage -> degraded.test(new LinkPair(previous.endpoint(), stage.member().endpoint())));
    Vector<Stage> usable = sound.isEmpty() ? candidates : sound;
    Vector<Stage> planned = usable.flatMap(stage -> planned(layer, previous, stage)).toVector();
    return planned.isEmpty() ? usable : planned;
  }

  /** Weighs a stage by the part of its flow that comes from the previous stage's data centre. */
  private Option<Stage> planned(int layer, Member previous, Stage stage) {
    Hop hop =
        new Hop(layer, previous.placement().dataCentre(), stage.member().placement().dataCentre());
    double part = plan.part(hop);
    return Option.when(
        part > 0, () -> new Stage(stage.member(), stage.layers(), stage.weight() * part));
  }

  private Set<Integer> boundariesThatReachTheEnd() {
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

  /**
   * Chosen stage.
   *
   * @param stage the stage
   * @param nextPass its virtual time after this choice
   */
  public record Choosing(Stage stage, double nextPass) {}
}
