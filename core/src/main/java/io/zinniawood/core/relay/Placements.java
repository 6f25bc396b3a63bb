package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.EndpointRecord;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.path.Holding;
import io.zinniawood.core.path.LayerPlacement;
import io.zinniawood.core.route.EngineProfile;
import io.zinniawood.core.route.RoutedService;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Gives empty endpoints their layers, as holder of the controller lease. */
final class Placements {
  /** Time between two looks at the fleet, in nanoseconds. */
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Time for the list to show loaded layers: a heartbeat, the list's lag and a poll. */
  private static final long SHOWN_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  /** Time without a new endpoint after which the list counts as complete at the first start. */
  private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private Placements() {}

  static void tick(RelayTurn turn) {
    RelayState state = turn.state;
    if (state.routes.isEmpty()
        || turn.nowNanos - state.placementTickNanos < 0
        || !ControllerLease.held(turn)) {
      return;
    }
    state.placementTickNanos = turn.nowNanos + INTERVAL_NANOS;
    // Layers that are placed while the list still fills would have to stay where they are.
    boolean filling = turn.nowNanos - state.fleet.newestNanos() < QUIET_NANOS;
    if (state.self.firstStart() && !state.requestSeen && filling) {
      return;
    }
    for (RoutedService service : state.routes.get().services()) {
      service.engine().ifPresent(engine -> place(turn, service, engine));
    }
  }

  private static void place(RelayTurn turn, RoutedService service, EngineProfile engine) {
    List<Holding> holdings = new ArrayList<>();
    int open = 0;
    boolean anyEmpty = false;
    for (EndpointRecord endpoint : turn.state.fleet.of(service.name())) {
      if (!endpoint.stays()
          || endpoint.suspectedAt(turn.nowNanos)
          || endpoint.entry().accelerator().isEmpty()) {
        continue;
      }
      Holding holding =
          new Holding(
              endpoint.id(),
              endpoint.entry().dataCentre(),
              endpoint.entry().accelerator().get(),
              endpoint.plannedLayers(turn.nowNanos));
      holdings.add(holding);
      open += endpoint.orderOpen(turn.nowNanos) ? 1 : 0;
      anyEmpty |= holding.layers().isEmpty();
    }
    if (!anyEmpty) {
      return;
    }
    // Before the first request loads are quick, and the time until then is short.
    boolean all = turn.state.self.firstStart() && !turn.state.requestSeen;
    int room = all ? Integer.MAX_VALUE : Math.max(0, engine.loadsAtOnce() - open);
    Map<EndpointId, LayerRange> ranges = new LayerPlacement(engine).fill(holdings);
    for (Map.Entry<EndpointId, LayerRange> entry : ranges.entrySet()) {
      if (room > 0) {
        room--;
        order(turn, engine, entry.getKey(), entry.getValue());
      }
    }
  }

  private static void order(
      RelayTurn turn, EngineProfile engine, EndpointId id, LayerRange layers) {
    EndpointRecord endpoint = turn.state.fleet.find(id).orElseThrow();
    if (endpoint.ordersUncertain()) {
      turn.emit(new RelayEffect.ReadReport(id, endpoint.entry().address()));
      return;
    }
    double loadSeconds = engine.loadSeconds() * layers.layers() / engine.layers();
    endpoint.ordered(layers, turn.nowNanos + SHOWN_NANOS + (long) (loadSeconds * NANOS_PER_SECOND));
    FencingNumber fence = turn.state.lease.heldRow().get().fencingNumber();
    turn.log(
        "layers-ordered",
        "endpoint",
        id.value(),
        "layers",
        layers.toString(),
        "ordersAccepted",
        endpoint.ordersAccepted(),
        "fence",
        fence.value());
    turn.emit(
        new RelayEffect.Order(
            new PlacementOrder(
                id, endpoint.entry().address(), layers, endpoint.ordersAccepted(), fence)));
  }

  static void answered(RelayTurn turn, RelayEvent.OrderAnswered event) {
    turn.log(
        "order-answered", "endpoint", event.endpoint().value(), "result", event.result().name());
    EndpointRecord endpoint = turn.state.fleet.find(event.endpoint()).orElse(null);
    if (endpoint == null) {
      return;
    }
    if (event.result() == OrderResult.ACCEPTED) {
      endpoint.orderAccepted();
    } else if (event.result() == OrderResult.REFUSED) {
      endpoint.orderRefused();
    } else {
      endpoint.orderUnanswered();
    }
  }
}
