package io.zinniawood.core.entry;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.ModelDefinition;
import io.zinniawood.core.entry.lease.ReplicaCount;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.EngineOrder;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.OrderOutcome;
import java.util.Comparator;

/**
 * Orders endpoints to load layer ranges that lack replicas, while this entry holds the controller
 * lease.
 */
final class Repair {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * An order without a result after this time counts as lost; the weights of one range load within
   * minutes.
   */
  private static final long ORDER_TIMEOUT_NANOS = 600_000_000_000L;

  private Repair() {}

  /**
   * Gives the orders that are due, if this entry certainly holds the lease and reaches most
   * endpoints.
   */
  static void tick(Turn turn) {
    if (!turn.state().controller().lease().mayGiveOrders(turn.nowNanos())) {
      return;
    }
    if (!reachesMostEndpoints(turn)) {
      turn.recordIncidentOnce(
          IncidentKind.RANGE_UNDERSERVED,
          turn.state().self().vm().value(),
          "no repair: this entry is not connected to enough listed endpoints to count replicas");
      return;
    }
    setPendingOrders(
        turn,
        pendingOrders(turn)
            .filterValues(order -> turn.nowNanos() - order.sentNanos() < ORDER_TIMEOUT_NANOS));
    for (ModelDefinition model :
        turn.cluster().models().values().toVector().sortBy(ModelDefinition::id)) {
      repairModel(turn, model);
    }
  }

  /**
   * Handles the result of an order. The grace period starts again, so that the endpoint's status
   * can show the loaded range, or the cause of a failure can pass.
   */
  static void handleOrderResult(Turn turn, EndpointId endpoint, Message.OrderResult message) {
    Option<ControllerState.PendingOrder> order = pendingOrders(turn).get(message.order());
    if (order.isEmpty() || !order.get().endpoint().equals(endpoint)) {
      return;
    }
    setPendingOrders(turn, pendingOrders(turn).remove(message.order()));
    setUnderReplicatedSinceNanos(
        turn, underReplicatedSinceNanos(turn).put(order.get().model(), turn.nowNanos()));
    if (message.outcome() == OrderOutcome.STALE_FENCING_NUMBER) {
      Leases.relinquish(turn);
    }
  }

  /**
   * Tells whether the entry has tried to connect to every listed endpoint and reaches more than
   * half of them. An entry that reaches fewer has more likely lost its own network.
   */
  private static boolean reachesMostEndpoints(Turn turn) {
    Vector<Member> listed =
        turn.fleet()
            .members()
            .values()
            .filter(member -> member.placement().listed() && !member.leaving())
            .toVector();
    int reached = listed.count(Member::connected);
    return listed.forAll(m -> m.connected() || m.connection().consecutiveFailures() > 0)
        && reached * 2 > listed.size();
  }

  private static void repairModel(Turn turn, ModelDefinition model) {
    ReplicaCount count = countReplicas(turn, model);
    Vector<LayerRange> lacking = count.rangesBelow(model.minReplicasPerLayer());
    if (lacking.isEmpty()) {
      setUnderReplicatedSinceNanos(turn, underReplicatedSinceNanos(turn).remove(model.id()));
      return;
    }
    if (!underReplicatedSinceNanos(turn).containsKey(model.id())) {
      setUnderReplicatedSinceNanos(
          turn, underReplicatedSinceNanos(turn).put(model.id(), turn.nowNanos()));
      turn.recordIncident(
          IncidentKind.RANGE_UNDERSERVED,
          model.id().value(),
          "layers %s have fewer than %d replicas"
              .formatted(formatRanges(lacking), model.minReplicasPerLayer()));
    }
    long waitedNanos = turn.nowNanos() - underReplicatedSinceNanos(turn).get(model.id()).get();
    if (waitedNanos >= turn.cluster().repair().graceMillis() * NANOS_PER_MILLI
        && pendingOrders(turn).size() < turn.cluster().repair().maxConcurrentLoads()) {
      orderLoad(turn, model, rangeToLoad(turn, model, lacking.head()));
    }
  }

  private static void orderLoad(Turn turn, ModelDefinition model, LayerRange range) {
    Option<Member> donor = findDonor(turn, model, range);
    if (donor.isEmpty()) {
      turn.recordIncidentOnce(
          IncidentKind.RANGE_UNDERSERVED,
          model.id().value(),
          "layers [%d, %d) are not repaired: no idle endpoint has replicas beyond the minimum"
              .formatted(range.fromLayer(), range.toLayerExclusive()));
      return;
    }
    Member member = donor.get();
    AttemptId id = turn.nextAttemptId();
    setPendingOrders(
        turn,
        pendingOrders(turn)
            .put(
                id,
                new ControllerState.PendingOrder(
                    member.endpoint(), model.id(), range, turn.nowNanos())));
    turn.send(
        member.endpoint(),
        member.connection().incarnation().get(),
        new Message.Order(
            id,
            turn.state().controller().lease().heldRow().get().fencingNumber(),
            new EngineOrder.LoadModel(model.id(), model.weightsVersion(), range)));
    turn.recordIncident(
        IncidentKind.ORDER_GIVEN,
        member.endpoint().value(),
        "ordered to load layers [%d, %d) of model %s"
            .formatted(range.fromLayer(), range.toLayerExclusive(), model.id()));
  }

  /**
   * Returns the idle endpoint whose present layers have the most replicas beyond the minimum, if
   * any.
   */
  private static Option<Member> findDonor(Turn turn, ModelDefinition model, LayerRange range) {
    Map<ModelId, ReplicaCount> counts =
        turn.cluster().models().mapValues(other -> countReplicas(turn, other));
    return turn.fleet()
        .members()
        .values()
        .filter(member -> member.connected() && !member.leaving() && idle(member))
        .filter(
            member ->
                !pendingOrders(turn).values().exists(o -> o.endpoint().equals(member.endpoint())))
        .filter(member -> spareReplicas(turn, member, counts) > 0)
        .filter(member -> !servesRange(member, model.id(), range))
        .maxBy(
            Comparator.<Member>comparingInt(member -> spareReplicas(turn, member, counts))
                .thenComparing(Member::endpoint, Comparator.reverseOrder()));
  }

  /** Returns the number of replicas beyond the minimum that all of the endpoint's layers have. */
  private static int spareReplicas(Turn turn, Member member, Map<ModelId, ReplicaCount> counts) {
    if (!(member.announced().capability().getOrNull() instanceof Capability.ModelStage stage)) {
      return 0;
    }
    return turn.cluster()
        .models()
        .get(stage.model())
        .map(
            model ->
                counts.get(stage.model()).get().minReplicas(stage.layers())
                    - model.minReplicasPerLayer())
        .getOrElse(0);
  }

  private static boolean idle(Member member) {
    return member.workload().inFlight() == 0
        && member.announced().load().running() == 0
        && member.announced().load().queued() == 0;
  }

  private static boolean servesRange(Member member, ModelId model, LayerRange range) {
    return EndpointSelection.modelStage(member, model)
        .exists(stage -> stage.layers().equals(range));
  }

  /**
   * Counts the endpoints that accept work and have no pending order, and the loads that were
   * ordered.
   */
  private static ReplicaCount countReplicas(Turn turn, ModelDefinition model) {
    Vector<LayerRange> ranges =
        turn.fleet()
            .members()
            .values()
            .filter(Member::acceptsWork)
            .filter(
                m -> !pendingOrders(turn).values().exists(o -> o.endpoint().equals(m.endpoint())))
            .flatMap(member -> EndpointSelection.modelStage(member, model.id()))
            .map(Capability.ModelStage::layers)
            .toVector();
    return new ReplicaCount(
        model.layers(),
        ranges.appendAll(
            pendingOrders(turn)
                .values()
                .filter(order -> order.model().equals(model.id()))
                .map(ControllerState.PendingOrder::layers)));
  }

  /**
   * Returns the lowest range known from an endpoint that covers the first lacking layer, or the
   * lacking range if there is none.
   */
  private static LayerRange rangeToLoad(Turn turn, ModelDefinition model, LayerRange lacking) {
    return turn.fleet()
        .members()
        .values()
        .flatMap(member -> EndpointSelection.modelStage(member, model.id()))
        .map(Capability.ModelStage::layers)
        .filter(
            known ->
                known.fromLayer() <= lacking.fromLayer()
                    && known.toLayerExclusive() > lacking.fromLayer())
        .minBy(
            Comparator.comparingInt(LayerRange::fromLayer)
                .thenComparingInt(LayerRange::toLayerExclusive))
        .getOrElse(lacking);
  }

  private static String formatRanges(Vector<LayerRange> ranges) {
    return ranges
        .map(range -> "[%d, %d)".formatted(range.fromLayer(), range.toLayerExclusive()))
        .mkString(", ");
  }

  private static Map<AttemptId, ControllerState.PendingOrder> pendingOrders(Turn turn) {
    return turn.state().controller().pendingOrders();
  }

  private static void setPendingOrders(
      Turn turn, Map<AttemptId, ControllerState.PendingOrder> orders) {
    turn.update(state -> state.withController(state.controller().withPendingOrders(orders)));
  }

  private static Map<ModelId, Long> underReplicatedSinceNanos(Turn turn) {
    return turn.state().controller().underReplicatedSinceNanos();
  }

  private static void setUnderReplicatedSinceNanos(Turn turn, Map<ModelId, Long> sinceNanos) {
    turn.update(
        state ->
            state.withController(state.controller().withUnderReplicatedSinceNanos(sinceNanos)));
  }
}
