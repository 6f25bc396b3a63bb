package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.path.EndpointLayers;
import io.zinniawood.core.path.LayerPlacement;
import io.zinniawood.core.route.EngineProfile;
import io.zinniawood.core.route.RoutedService;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Orders empty endpoints to load layers while this relay holds the controller lease. */
final class PlacementOrders {
  /** Interval at which the fleet is checked for empty endpoints. */
  private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /**
   * Time until the endpoint list shows loaded layers: a heartbeat interval, the lag of the list and
   * a poll interval.
   */
  private static final long LIST_UPDATE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  /** Time without a new endpoint after which the list counts as complete on first start. */
  private static final long LIST_SETTLED_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private PlacementOrders() {}

  static void tick(RelayTurn turn) {
    RelayState state = turn.state;
    if (state.routes.isEmpty()
        || turn.nowNanos - state.nextPlacementTickNanos < 0
        || !ControllerLease.held(turn)) {
      return;
    }
    state.nextPlacementTickNanos = turn.nowNanos + TICK_INTERVAL_NANOS;
    // Layers placed before the list is complete could not be moved later.
    boolean listGrowing = turn.nowNanos - state.fleet.lastEndpointAddedNanos() < LIST_SETTLED_NANOS;
    if (state.parameters.firstStart() && !state.anyRequestReceived && listGrowing) {
      return;
    }
    for (RoutedService service : state.routes.get().services()) {
      service.engine().ifPresent(engine -> place(turn, service, engine));
    }
  }

  private static void place(RelayTurn turn, RoutedService service, EngineProfile engine) {
    List<EndpointLayers> endpoints = new ArrayList<>();
    int openOrders = 0;
    boolean anyEmpty = false;
    for (TrackedEndpoint endpoint : turn.state.fleet.ofService(service.name())) {
      if (!endpoint.staysInFleet()
          || endpoint.suspectedAt(turn.nowNanos)
          || endpoint.entry().accelerator().isEmpty()) {
        continue;
      }
      EndpointLayers endpointLayers =
          new EndpointLayers(
              endpoint.id(),
              endpoint.entry().dataCentre(),
              endpoint.entry().accelerator().get(),
              endpoint.plannedLayers(turn.nowNanos));
      endpoints.add(endpointLayers);
      openOrders += endpoint.orderPending(turn.nowNanos) ? 1 : 0;
      anyEmpty |= endpointLayers.layers().isEmpty();
    }
    if (!anyEmpty) {
      return;
    }
    // The limit on parallel loads does not apply before the first request: loads are fast then,
    // and all layers must be placed in a short time.
    boolean unlimited = turn.state.parameters.firstStart() && !turn.state.anyRequestReceived;
    int remainingOrders =
        unlimited ? Integer.MAX_VALUE : Math.max(0, engine.maxConcurrentLoads() - openOrders);
    Map<EndpointId, LayerRange> ranges = new LayerPlacement(engine).assignLayers(endpoints);
    for (Map.Entry<EndpointId, LayerRange> entry : ranges.entrySet()) {
      if (remainingOrders > 0 && !paused(turn, entry.getKey())) {
        remainingOrders--;
        order(turn, engine, entry.getKey(), entry.getValue());
      }
    }
  }

  private static boolean paused(RelayTurn turn, EndpointId id) {
    return turn.state.fleet.find(id).filter(known -> known.pausedAt(turn.nowNanos)).isPresent();
  }

  private static void order(
      RelayTurn turn, EngineProfile engine, EndpointId id, LayerRange layers) {
    TrackedEndpoint endpoint = turn.state.fleet.find(id).orElseThrow();
    if (endpoint.orderCountUncertain()) {
      endpoint.countRequest(turn.nowNanos);
      turn.emit(new RelayEffect.ReadReport(id, endpoint.entry().address()));
      return;
    }
    double loadSeconds = engine.modelLoadSeconds() * layers.layers() / engine.layers();
    endpoint.orderLayers(
        layers, turn.nowNanos + LIST_UPDATE_NANOS + (long) (loadSeconds * NANOS_PER_SECOND));
    FencingNumber fencingNumber = turn.state.lease.heldRow().get().fencingNumber();
    turn.log(
        "layers-ordered",
        "endpoint",
        id.value(),
        "layers",
        layers.toString(),
        "ordersAccepted",
        endpoint.ordersAccepted(),
        "fence",
        fencingNumber.value());
    endpoint.countRequest(turn.nowNanos);
    turn.emit(
        new RelayEffect.Order(
            new PlacementOrder(
                id, endpoint.entry().address(), layers, endpoint.ordersAccepted(), fencingNumber)));
  }

  static void orderAnswered(RelayTurn turn, RelayEvent.OrderAnswered event) {
    turn.log(
        "order-answered", "endpoint", event.endpoint().value(), "result", event.result().name());
    if (event.result() == OrderResult.FENCED) {
      ControllerLease.fenced(turn);
    }
    TrackedEndpoint endpoint = turn.state.fleet.find(event.endpoint()).orElse(null);
    if (endpoint == null) {
      return;
    }
    if (event.result() == OrderResult.ACCEPTED) {
      endpoint.orderAccepted();
    } else if (event.result() != OrderResult.UNKNOWN) {
      endpoint.orderRefused();
    } else {
      endpoint.orderUnanswered();
    }
  }
}
