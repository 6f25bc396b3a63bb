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

/** Restores layer ranges that lost replicas, while this entry holds the controller lease. */
final class Repair {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A load that takes longer is counted as lost; weights of one range load in minutes. */
  private static final long ORDER_LIFETIME_NANOS = 600_000_000_000L;

  private Repair() {}

  /** Gives the orders that are due, if this entry surely holds the lease and sees the fleet. */
  static void tick(Turn turn) {
    if (!turn.state().controller().lease().mayOrder(turn.nowNanos())) {
      return;
    }
    if (!seesFleet(turn)) {
      turn.incidentOnce(
          IncidentKind.RANGE_UNDERSERVED,
          turn.state().self().vm().value(),
          "no repair: this entry does not reach enough listed endpoints to judge their layers");
      return;
    }
    setOrders(
        turn,
        orders(turn)
            .filterValues(order -> turn.nowNanos() - order.sentNanos() < ORDER_LIFETIME_NANOS));
    for (ModelDefinition model :
        turn.cluster().models().values().toVector().sortBy(ModelDefinition::id)) {
      repair(turn, model);
    }
  }

  /**
   * Takes the result of an order. The grace time starts again, in which a loaded range shows up in
   * the endpoint's status, or the cause of a failure may pass.
   */
  static void result(Turn turn, EndpointId endpoint, Message.OrderResult message) {
    Option<Controller.Order> order = orders(turn).get(message.order());
    if (order.isEmpty() || !order.get().endpoint().equals(endpoint)) {
      return;
    }
    setOrders(turn, orders(turn).remove(message.order()));
    setShort(turn, shortSince(turn).put(order.get().model(), turn.nowNanos()));
    if (message.outcome() == OrderOutcome.STALE_FENCING_NUMBER) {
      Leases.superseded(turn);
    }
  }

  /**
   * Tells whether the entry has tried every listed endpoint and reaches most of them. An entry that
   * reaches few has more likely lost its own network.
   */
  private static boolean seesFleet(Turn turn) {
    Vector<Member> listed =
        turn.fleet()
            .members()
            .values()
            .filter(member -> member.placement().listed() && !member.leaving())
            .toVector();
    int reached = listed.count(Member::connected);
    return listed.forAll(m -> m.connected() || m.connection().failures() > 0)
        && reached * 2 > listed.size();
  }

  private static void repair(Turn turn, ModelDefinition model) {
    ReplicaCount count = count(turn, model);
    Vector<LayerRange> lacking = count.shorterThan(model.minReplicasPerLayer());
    if (lacking.isEmpty()) {
      setShort(turn, shortSince(turn).remove(model.id()));
      return;
    }
    if (!shortSince(turn).containsKey(model.id())) {
      setShort(turn, shortSince(turn).put(model.id(), turn.nowNanos()));
      turn.incident(
          IncidentKind.RANGE_UNDERSERVED,
          model.id().value(),
          "layers %s have fewer than %d replicas"
              .formatted(text(lacking), model.minReplicasPerLayer()));
    }
    long waitedNanos = turn.nowNanos() - shortSince(turn).get(model.id()).get();
    if (waitedNanos >= turn.cluster().repair().graceMillis() * NANOS_PER_MILLI
        && orders(turn).size() < turn.cluster().repair().maxConcurrentLoads()) {
      order(turn, model, range(turn, model, lacking.head()));
    }
  }

  private static void order(Turn turn, ModelDefinition model, LayerRange range) {
    Option<Member> donor = donor(turn, model, range);
    if (donor.isEmpty()) {
      turn.incidentOnce(
          IncidentKind.RANGE_UNDERSERVED,
          model.id().value(),
          "layers [%d, %d) are not repaired: no idle endpoint has layers with replicas to spare"
              .formatted(range.fromLayer(), range.toLayerExclusive()));
      return;
    }
    Member member = donor.get();
    AttemptId id = turn.nextAttempt();
    setOrders(
        turn,
        orders(turn)
            .put(id, new Controller.Order(member.endpoint(), model.id(), range, turn.nowNanos())));
    turn.send(
        member.endpoint(),
        member.connection().incarnation().get(),
        new Message.Order(
            id,
            turn.state().controller().lease().mine().get().fencingNumber(),
            new EngineOrder.LoadModel(model.id(), model.weightsVersion(), range)));
    turn.incident(
        IncidentKind.ORDER_GIVEN,
        member.endpoint().value(),
        "load layers [%d, %d) of model %s"
            .formatted(range.fromLayer(), range.toLayerExclusive(), model.id()));
  }

  /** Returns an idle endpoint whose present layers have replicas to spare, most of them first. */
  private static Option<Member> donor(Turn turn, ModelDefinition model, LayerRange range) {
    Map<ModelId, ReplicaCount> counts =
        turn.cluster().models().mapValues(other -> count(turn, other));
    return turn.fleet()
        .members()
        .values()
        .filter(member -> member.connected() && !member.leaving() && idle(member))
        .filter(
            member -> !orders(turn).values().exists(o -> o.endpoint().equals(member.endpoint())))
        .filter(member -> spare(turn, member, counts) > 0)
        .filter(member -> !holds(member, model.id(), range))
        .maxBy(
            Comparator.<Member>comparingInt(member -> spare(turn, member, counts))
                .thenComparing(Member::endpoint, Comparator.reverseOrder()));
  }

  /** Returns the replicas beyond the minimum that the endpoint's layers have. */
  private static int spare(Turn turn, Member member, Map<ModelId, ReplicaCount> counts) {
    if (!(member.serving().capability().getOrNull() instanceof Capability.ModelStage stage)) {
      return 0;
    }
    return turn.cluster()
        .models()
        .get(stage.model())
        .map(
            model ->
                counts.get(stage.model()).get().fewest(stage.layers())
                    - model.minReplicasPerLayer())
        .getOrElse(0);
  }

  private static boolean idle(Member member) {
    return member.work().inFlight() == 0
        && member.serving().load().running() == 0
        && member.serving().load().queued() == 0;
  }

  private static boolean holds(Member member, ModelId model, LayerRange range) {
    return EndpointSelection.modelStage(member, model)
        .exists(stage -> stage.layers().equals(range));
  }

  /** Counts the endpoints that take work, and loads that were ordered. */
  private static ReplicaCount count(Turn turn, ModelDefinition model) {
    Vector<LayerRange> ranges =
        turn.fleet()
            .members()
            .values()
            .filter(Member::takesWork)
            .filter(m -> !orders(turn).values().exists(o -> o.endpoint().equals(m.endpoint())))
            .flatMap(member -> EndpointSelection.modelStage(member, model.id()))
            .map(Capability.ModelStage::layers)
            .toVector();
    return new ReplicaCount(
        model.layers(),
        ranges.appendAll(
            orders(turn)
                .values()
                .filter(order -> order.model().equals(model.id()))
                .map(Controller.Order::layers)));
  }

  /** Returns a range that endpoints hold or held and that covers the first lacking layer. */
  private static LayerRange range(Turn turn, ModelDefinition model, LayerRange lacking) {
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

  private static String text(Vector<LayerRange> ranges) {
    return ranges
        .map(range -> "[%d, %d)".formatted(range.fromLayer(), range.toLayerExclusive()))
        .mkString(", ");
  }

  private static Map<AttemptId, Controller.Order> orders(Turn turn) {
    return turn.state().controller().orders();
  }

  private static void setOrders(Turn turn, Map<AttemptId, Controller.Order> orders) {
    turn.update(state -> state.withController(state.controller().withOrders(orders)));
  }

  private static Map<ModelId, Long> shortSince(Turn turn) {
    return turn.state().controller().shortSince();
  }

  private static void setShort(Turn turn, Map<ModelId, Long> shortSince) {
    turn.update(state -> state.withController(state.controller().withShortSince(shortSince)));
  }
}
