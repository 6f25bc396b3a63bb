package io.zinniawood.core.entry;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.entry.routing.ChainSelector;
import io.zinniawood.core.entry.routing.ChainSelector.SelectedStage;
import io.zinniawood.core.entry.routing.EndpointSelector;
import io.zinniawood.core.entry.routing.FlowPlan;
import io.zinniawood.core.entry.routing.SelectionCriteria;
import io.zinniawood.core.entry.routing.Stage;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.Priority;
import java.util.function.ToDoubleFunction;

/** Selects endpoints for work among those that accept it and are below their limits. */
final class EndpointSelection {
  private static final LayerRange NO_LAYERS = new LayerRange(0, 1);

  /**
   * Share of its weight with which a new endpoint starts, so that a cold endpoint fails few
   * requests.
   */
  private static final double SLOW_START_INITIAL_SHARE = 0.1;

  /**
   * Lowest weight of an endpoint, as a share of its capacity, if the endpoints with planned flow
   * provide no available chain.
   */
  private static final double FALLBACK_SHARE = 0.01;

  private EndpointSelection() {}

  /**
   * Returns a chain for a range of a model's layers, or none if the available endpoints do not
   * cover the range.
   *
   * @param range layers to cover
   * @param arrival request that is routed
   * @param avoid endpoints that must not be chosen
   * @param headroom maximum work in flight at an endpoint, derived from its limit
   */
  static Option<Vector<SelectedStage>> selectChain(
      Turn turn,
      LayerRange range,
      EntryEvent.ModelRequestArrived arrival,
      Set<EndpointId> avoid,
      Headroom headroom) {
    FlowPlan plan = FlowPlans.of(turn, arrival.model());
    TokenPace pace = TokenPace.of(turn, arrival.model());
    Vector<Member> members =
        available(turn, headroom)
            .filter(member -> pace.allows(member, headroom))
            .reject(member -> avoid.contains(member.endpoint()));
    return selectChain(turn, range, arrival, plan, stages(turn, members, arrival, plan, 0))
        .orElse(
            () ->
                selectChain(
                    turn,
                    range,
                    arrival,
                    plan,
                    stages(turn, members, arrival, plan, FALLBACK_SHARE)));
  }

  private static Option<Vector<SelectedStage>> selectChain(
      Turn turn,
      LayerRange range,
      EntryEvent.ModelRequestArrived arrival,
      FlowPlan plan,
      Vector<Stage> stages) {
    SelectionCriteria criteria =
        new SelectionCriteria(
            turn.state().self().dataCentre(),
            plan,
            link -> turn.fleet().degradedLinks().containsKey(link),
            turn.fleet().tokenGaps(),
            arrival.prefixHash(),
            turn.cluster().routing().affinityLoadFactor());
    return new ChainSelector(stages, range, criteria).choose();
  }

  private static Vector<Stage> stages(
      Turn turn,
      Vector<Member> members,
      EntryEvent.ModelRequestArrived arrival,
      FlowPlan plan,
      double minFlowShare) {
    return members
        .flatMap(
            member ->
                modelStage(member, arrival.model())
                    .map(
                        stage ->
                            new Stage(
                                member,
                                stage.layers(),
                                slowStartFactor(turn, member)
                                    * Math.max(
                                        plan.endpointFlow(member.endpoint()),
                                        minFlowShare * FlowPlans.capacity(stage)))))
        .filter(stage -> stage.weight() > 0);
  }

  /** Returns an endpoint of a service with its next virtual time, or none if none is available. */
  static Option<SelectedStage> selectServiceEndpoint(
      Turn turn, ServiceName service, Set<EndpointId> avoid, Priority priority) {
    ToDoubleFunction<Member> weight = member -> member.workload().limit().toInt();
    Vector<Stage> candidates =
        available(turn, Headroom.forNewWork(priority))
            .filter(member -> serves(member, service) && !avoid.contains(member.endpoint()))
            .map(
                member ->
                    new Stage(
                        member,
                        NO_LAYERS,
                        slowStartFactor(turn, member) * weight.applyAsDouble(member)));
    double minVirtualTime = EndpointSelector.minVirtualTime(candidates);
    return EndpointSelector.selectByVirtualTime(candidates)
        .map(stage -> new SelectedStage(stage, stage.virtualTimeAfterNext(minVirtualTime)));
  }

  /** Tells whether an endpoint of the fleet serves the service, even if it is at its limit. */
  static boolean isServed(Turn turn, ServiceName service) {
    return turn.fleet().members().values().exists(m -> m.acceptsWork() && serves(m, service));
  }

  /** Returns the stage of a model that a member serves, or none. */
  static Option<Capability.ModelStage> modelStage(Member member, ModelId model) {
    return member
        .announced()
        .capability()
        .filter(c -> c instanceof Capability.ModelStage stage && stage.model().equals(model))
        .map(c -> (Capability.ModelStage) c);
  }

  private static Vector<Member> available(Turn turn, Headroom headroom) {
    return turn.fleet()
        .members()
        .values()
        .filter(
            member ->
                member.acceptsWork()
                    && !member.health().ejected(turn.nowNanos())
                    && member.workload().inFlight()
                        < headroom.maxInFlight(member.workload().limit().toInt()))
        .toVector();
  }

  /** Returns the slow-start factor of an endpoint, which grows linearly up to 1. */
  private static double slowStartFactor(Turn turn, Member member) {
    double slowStartNanos = turn.cluster().routing().slowStartMillis() * 1e6;
    double served = turn.nowNanos() - member.announced().servingSinceNanos();
    return slowStartNanos <= 0
        ? 1
        : Math.max(SLOW_START_INITIAL_SHARE, Math.min(1, served / slowStartNanos));
  }

  private static boolean serves(Member member, ServiceName service) {
    return member
        .announced()
        .capability()
        .exists(c -> c instanceof Capability.PlainService plain && plain.service().equals(service));
  }
}
