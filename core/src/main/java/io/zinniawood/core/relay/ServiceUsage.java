package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.route.EngineProfile;
import java.util.Optional;

/** Share of the capacity of a service that is in use. */
final class ServiceUsage {
  private ServiceUsage() {}

  /** Returns the share in use with one more request; 0 if no endpoint has any capacity. */
  static double shareWith(RelayTurn turn, ServiceName service, long moreTokens) {
    Optional<EngineProfile> engine = turn.state.engine(service);
    return engine.isPresent()
        ? tokenShare(turn, service, engine.get(), moreTokens)
        : slotShare(turn, service);
  }

  /** Returns the share of the memory for tokens in use at the holders of the scarcest layer. */
  private static double tokenShare(
      RelayTurn turn, ServiceName service, EngineProfile engine, long moreTokens) {
    double[] used = new double[engine.layers()];
    double[] capacity = new double[engine.layers()];
    int relays = turn.state.peers.count(turn.nowNanos);
    for (TrackedEndpoint endpoint : turn.state.fleet.ofService(service)) {
      Optional<LayerRange> layers = endpoint.entry().layers();
      if (layers.isEmpty() || !endpoint.usable(turn.nowNanos)) {
        continue;
      }
      double tokens = turn.state.fleetLoad.at(endpoint, relays, turn.nowNanos).tokens();
      double endpointCapacity = PathSelector.MAX_MEMORY_SHARE * TokenCapacity.of(engine, endpoint);
      int toLayer = Math.min(engine.layers(), layers.get().toLayerExclusive());
      for (int layer = Math.max(0, layers.get().fromLayer()); layer < toLayer; layer++) {
        used[layer] += tokens;
        capacity[layer] += endpointCapacity;
      }
    }
    double highest = 0;
    for (int layer = 0; layer < used.length; layer++) {
      // Path selection tells that there is no path; the reserve must not hide it.
      if (capacity[layer] > 0) {
        highest = Math.max(highest, (used[layer] + moreTokens) / capacity[layer]);
      }
    }
    return highest;
  }

  private static double slotShare(RelayTurn turn, ServiceName service) {
    double used = 1;
    double slots = 0;
    for (TrackedEndpoint endpoint : turn.state.fleet.ofService(service)) {
      if (endpoint.usable(turn.nowNanos)) {
        used += endpoint.inFlight();
        slots +=
            Math.max(1, endpoint.entry().slots() * PlainEndpointSelector.MAX_IN_FLIGHT_PER_SLOT);
      }
    }
    return slots > 0 ? used / slots : 0;
  }
}
