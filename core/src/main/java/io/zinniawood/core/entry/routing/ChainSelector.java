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
  private final SelectionCriteria criteria;

  /**
   * Prepares a choice.
   *
   * @param stages endpoints that may be chosen
   * @param range layers to cover
   * @param guidance what guides the choice
   */
  public ChainSelector(Vector<Stage> stages, LayerRange range, SelectionCriteria guidance) {
    this.stages = stages;
    this.range = range;
    this.criteria = guidance;
  }

  /** Returns the chosen stages, or none if the stages do not cover the range. */
  public Option<Vector<SelectedStage>> choose() {
    Set<Integer> useful = boundariesReachingRangeEnd();
    Vector<SelectedStage> chain = Vector.empty();
    int layer = range.fromLayer();
    while (layer < range.toLayerExclusive()) {
      Vector<Stage> candidates = candidates(layer, useful, chain);
      Option<Stage> chosen =
          EndpointSelector.selectByPrefix(
              candidates, criteria.prefixHash(), criteria.affinityLoadFactor());
      if (chosen.isEmpty()) {
        return Option.none();
      }
      Stage stage = chosen.get();
      chain =
          chain.append(
              new SelectedStage(
                  stage, stage.virtualTimeAfterNext(EndpointSelector.minVirtualTime(candidates))));
      layer = stage.layers().toLayerExclusive();
    }
    return Option.some(chain);
  }

  private Vector<Stage> candidates(int layer, Set<Integer> useful, Vector<SelectedStage> chain) {
    Vector<Stage> candidates =
        stages.filter(
            stage ->
                stage.layers().fromLayer() == layer
                    && useful.contains(stage.layers().toLayerExclusive()));
    if (chain.isEmpty()) {
      return criteria.tokenGaps().adjustWeights(criteria.entryDataCentre(), candidates);
    }
    Member previous = chain.last().stage().member();
    DataCentreId from = previous.placement().dataCentre();
    Vector<Stage> sound =
        candidates.reject(
            stage ->
                criteria
                    .degradedLinks()
                    .test(new EndpointLink(previous.endpoint(), stage.member().endpoint())));
    Vector<Stage> usable = sound.isEmpty() ? candidates : sound;
    Vector<Stage> planned = usable.flatMap(stage -> weighByFlow(layer, from, stage)).toVector();
    return criteria.tokenGaps().adjustWeights(from, planned.isEmpty() ? usable : planned);
  }

  /** Weighs a stage by the part of its flow that comes from the previous stage's data centre. */
  private Option<Stage> weighByFlow(int layer, DataCentreId from, Stage stage) {
    double part =
        criteria.plan().hopFraction(new Hop(layer, from, stage.member().placement().dataCentre()));
    return Option.when(
        part > 0, () -> new Stage(stage.member(), stage.layers(), stage.weight() * part));
  }

  /** Returns the layer boundaries from which some chain of the stages reaches the range's end. */
  private Set<Integer> boundariesReachingRangeEnd() {
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
   * @param virtualTime its virtual time after this choice
   */
  public record SelectedStage(Stage stage, double virtualTime) {}
}
