package io.zinniawood.core.entry.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.entry.routing.FlowPlan.Hop;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.model.LayerRange;
import java.util.HashSet;
import java.util.Set;

/** Selects a chain of endpoints whose layer ranges are contiguous and do not overlap. */
public final class ChainSelector {
  private final Vector<Stage> stages;
  private final LayerRange range;
  private final SelectionCriteria criteria;

  /**
   * Creates a selector for one chain.
   *
   * @param stages endpoints to select from
   * @param range layers to cover
   * @param criteria flow plan, links to avoid, token gaps and prefix affinity
   */
  public ChainSelector(Vector<Stage> stages, LayerRange range, SelectionCriteria criteria) {
    this.stages = stages;
    this.range = range;
    this.criteria = criteria;
  }

  /** Returns the selected stages, or none if no chain of the stages covers the range. */
  public Option<Vector<SelectedStage>> choose() {
    Set<Integer> reachingEnd = boundariesReachingRangeEnd();
    Vector<SelectedStage> chain = Vector.empty();
    int layer = range.fromLayer();
    while (layer < range.toLayerExclusive()) {
      Vector<Stage> candidates = candidates(layer, reachingEnd, chain);
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

  private Vector<Stage> candidates(
      int layer, Set<Integer> reachingEnd, Vector<SelectedStage> chain) {
    Vector<Stage> candidates =
        stages.filter(
            stage ->
                stage.layers().fromLayer() == layer
                    && reachingEnd.contains(stage.layers().toLayerExclusive()));
    if (chain.isEmpty()) {
      return criteria.tokenGaps().adjustWeights(criteria.entryDataCentre(), candidates);
    }
    Member previous = chain.last().stage().member();
    DataCentreId from = previous.placement().dataCentre();
    Vector<Stage> notDegraded =
        candidates.reject(
            stage ->
                criteria
                    .degradedLinks()
                    .test(new EndpointLink(previous.endpoint(), stage.member().endpoint())));
    Vector<Stage> usable = notDegraded.isEmpty() ? candidates : notDegraded;
    Vector<Stage> planned = usable.flatMap(stage -> weighByFlow(layer, from, stage)).toVector();
    return criteria.tokenGaps().adjustWeights(from, planned.isEmpty() ? usable : planned);
  }

  /** Scales the weight of a stage by the planned inflow from the previous stage's data centre. */
  private Option<Stage> weighByFlow(int layer, DataCentreId from, Stage stage) {
    double fraction =
        criteria.plan().hopFraction(new Hop(layer, from, stage.member().placement().dataCentre()));
    return Option.when(
        fraction > 0, () -> new Stage(stage.member(), stage.layers(), stage.weight() * fraction));
  }

  /** Returns the layer boundaries from which some chain of stages reaches the end of the range. */
  private Set<Integer> boundariesReachingRangeEnd() {
    Set<Integer> reachingEnd = new HashSet<>();
    reachingEnd.add(range.toLayerExclusive());
    for (Stage stage : stages.sortBy(stage -> -stage.layers().fromLayer())) {
      if (reachingEnd.contains(stage.layers().toLayerExclusive())
          && stage.layers().fromLayer() >= range.fromLayer()) {
        reachingEnd.add(stage.layers().fromLayer());
      }
    }
    return reachingEnd;
  }

  /**
   * Selected stage.
   *
   * @param virtualTime virtual time of the endpoint after this selection
   */
  public record SelectedStage(Stage stage, double virtualTime) {}
}
