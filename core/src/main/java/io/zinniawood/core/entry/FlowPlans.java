package io.zinniawood.core.entry;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.entry.routing.EndpointLink;
import io.zinniawood.core.entry.routing.FlowPlan;
import io.zinniawood.core.entry.routing.FlowPlanner;
import io.zinniawood.core.entry.routing.LinkCapacity;
import io.zinniawood.core.entry.routing.StageCapacity;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.model.Capability;

/** Caches the flow plan of each model. A plan is computed at its first use after a change. */
final class FlowPlans {
  /**
   * Number of degraded endpoint pairs from which the link between their data centres counts as
   * degraded. A single pair may be the fault of an endpoint.
   */
  private static final int DEGRADED_LINK_MIN_PAIRS = 2;

  /** Capacity of a degraded link between data centres, as a share of the capacity of all stages. */
  private static final double DEGRADED_CAPACITY_SHARE = 0.01;

  private FlowPlans() {}

  /** Returns the plan of a model over the endpoints that accept work. */
  static FlowPlan of(Turn turn, ModelId model) {
    Option<FlowPlan> known = turn.fleet().plans().get(model);
    if (known.isDefined()) {
      return known.get();
    }
    int layers = turn.cluster().models().get(model).map(m -> m.layers()).getOrElse(0);
    Vector<StageCapacity> stages =
        turn.fleet()
            .members()
            .values()
            .filter(Member::acceptsWork)
            .flatMap(member -> capacity(member, model))
            .toVector()
            .sortBy(StageCapacity::endpoint);
    FlowPlan plan = FlowPlanner.plan(stages, layers, linkCapacity(turn.fleet(), stages));
    turn.update(state -> state.withFleet(state.fleet().withPlan(model, plan)));
    return plan;
  }

  private static Option<StageCapacity> capacity(Member member, ModelId model) {
    return EndpointSelection.modelStage(member, model)
        .map(
            stage ->
                new StageCapacity(
                    member.endpoint(),
                    member.placement().dataCentre(),
                    stage.layers(),
                    capacity(stage)));
  }

  /**
   * Returns the capacity of a stage in tokens per second, or its maximum number of sessions if the
   * engine reports no rate.
   */
  static double capacity(Capability.ModelStage stage) {
    return stage.tokensPerSecond() > 0 ? stage.tokensPerSecond() : Math.max(1, stage.maxSessions());
  }

  private static LinkCapacity linkCapacity(Fleet fleet, Vector<StageCapacity> stages) {
    if (fleet.degradedLinks().size() < DEGRADED_LINK_MIN_PAIRS) {
      return LinkCapacity.UNLIMITED;
    }
    double total = stages.map(StageCapacity::tokensPerSecond).sum().doubleValue();
    return (from, to) ->
        fleet.degradedLinks().keySet().count(pair -> connects(fleet, pair, from, to))
                >= DEGRADED_LINK_MIN_PAIRS
            ? total * DEGRADED_CAPACITY_SHARE
            : Double.POSITIVE_INFINITY;
  }

  private static boolean connects(
      Fleet fleet, EndpointLink pair, DataCentreId from, DataCentreId to) {
    return fleet.member(pair.from()).exists(m -> m.placement().dataCentre().equals(from))
        && fleet.member(pair.to()).exists(m -> m.placement().dataCentre().equals(to));
  }
}
