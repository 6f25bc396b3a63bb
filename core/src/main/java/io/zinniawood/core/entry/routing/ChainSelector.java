package io.zinniawood.core.entry.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.entry.routing.FlowPlan.Hop;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.model.LayerRange;
import java.util.HashSet;
import java.util.Set;

/** Chooses a chain of endpoints whose layer ranges join without gap or overlap. */
public final class ChainSelector {
  private final Vector<Stage> stages;
  private final LayerRange range;
  private final Guidance guidance;

  /**
   * Prepares a choice.
   *
   * @param stages endpoints that may be chosen
   * @param range layers to cover
   * @param guidance what guides the choice
   */
  public ChainSelector(Vector<Stage> stages, LayerRange range, Guidance guidance) {
    this.stages = stages;
    this.range = range;
    this.guidance = guidance;
  }

  /** Returns the chosen stages, or none if the stages do not cover the range. */
  public Option<Vector<Choosing>> choose() {
    Set<Integer> useful = boundariesThatReachTheEnd();
    Vector<Choosing> chain = Vector.empty();
    int layer = range.fromLayer();
    while (layer < range.toLayerExclusive()) {
      Vector<Stage> candidates = candidates(layer, useful, chain);
      Option<Stage> chosen =
          Choice.byPrefix(candidates, guidance.prefixHash(), guidance.loadFactor());
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
      return guidance.speeds().weigh(guidance.entry(), candidates);
    }
    Member previous = chain.last().stage().member();
    DataCentreId from = previous.placement().dataCentre();
    Vector<Stage> sound =
        candidates.reject(
            stage ->
                guidance
                    .degraded()
                    .test(new LinkPair(previous.endpoint(), stage.member().endpoint())));
    Vector<Stage> usable = sound.isEmpty() ? candidates : sound;
    Vector<Stage> planned = usable.flatMap(stage -> planned(layer, from, stage)).toVector();
    return guidance.speeds().weigh(from, planned.isEmpty() ? usable : planned);
  }

  /** Weighs a stage by the part of its flow that comes from the previous stage's data centre. */
  private Option<Stage> planned(int layer, DataCentreId from, Stage stage) {
    double part =
        guidance.plan().part(new Hop(layer, from, stage.member().placement().dataCentre()));
    return Option.when(
        part > 0, () -> new Stage(stage.member(), stage.layers(), stage.weight() * part));
  }

  /** Returns the layer boundaries from which some chain of the stages reaches the range's end. */
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
