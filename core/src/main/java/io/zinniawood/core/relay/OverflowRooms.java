package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.overflow.DataCentreRoom;
import io.zinniawood.core.overflow.LayerRoom;
import io.zinniawood.core.overflow.LinkCondition;
import io.zinniawood.core.overflow.RemoteDataCentre;
import io.zinniawood.core.route.EngineProfile;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;

/** Room of each data centre for whole paths of a service, at one time. */
final class OverflowRooms {
  /**
   * Age of the load figures. {@link io.zinniawood.core.load.FleetLoad} drops the figures of other
   * relays itself once they are too old, and estimates their load from that of this relay.
   */
  private static final long FIGURES_AGE_MILLIS = 0;

  private final RelayTurn turn;
  private final EngineProfile engine;
  private final DataCentreId home;
  private final int relays;
  private final Map<DataCentreId, Sums> sums = new TreeMap<>();

  /** Sums over the endpoints of one data centre. */
  private static final class Sums {
    final LayerRoom capacity;
    final LayerRoom free;
    final LayerRoom own;

    Sums(int layers) {
      capacity = new LayerRoom(layers);
      free = new LayerRoom(layers);
      own = new LayerRoom(layers);
    }
  }

  OverflowRooms(RelayTurn turn, ServiceName service, EngineProfile engine) {
    this.turn = turn;
    this.engine = engine;
    this.home = turn.state.parameters.dataCentre();
    this.relays = turn.state.peers.count(turn.nowNanos);
    sums.put(home, new Sums(engine.layers()));
    turn.state.fleet.ofService(service).forEach(this::add);
  }

  private void add(TrackedEndpoint endpoint) {
    double tokens = TokenCapacity.of(engine, endpoint);
    if (tokens <= 0 || !endpoint.usable(turn.nowNanos)) {
      return;
    }
    double capacity = tokens * PathSelector.MAX_MEMORY_SHARE;
    double load = turn.state.fleetLoad.at(endpoint, relays, turn.nowNanos).tokens();
    Sums centre =
        sums.computeIfAbsent(endpoint.entry().dataCentre(), key -> new Sums(engine.layers()));
    LayerRange held = endpoint.entry().layers().orElseThrow();
    centre.capacity.add(held, capacity);
    centre.free.add(held, Math.max(0, capacity - load));
    centre.own.add(held, (double) endpoint.tokensInFlight() * relays);
  }

  /** Returns the room of the own data centre, where no request is a guest. */
  DataCentreRoom home() {
    Sums own = sums.get(home);
    return new DataCentreRoom(home, own.capacity.least(), own.free.least(), 0, FIGURES_AGE_MILLIS);
  }

  /**
   * Returns the other data centres. Their guests are estimated as if every relay had as many
   * requests there as this one.
   */
  List<RemoteDataCentre> others() {
    List<RemoteDataCentre> others = new ArrayList<>();
    LayerRoom homeFree = sums.get(home).free;
    sums.forEach(
        (centre, room) -> {
          if (!centre.equals(home)) {
            others.add(
                new RemoteDataCentre(
                    new DataCentreRoom(
                        centre,
                        room.capacity.least(),
                        room.free.least(),
                        room.own.most(),
                        FIGURES_AGE_MILLIS),
                    link(centre),
                    homeFree.leastWith(room.free, DataCentreRoom.MAX_GUEST_SHARE)));
          }
        });
    return others;
  }

  /** Returns the condition of a link; no component observes its rate yet. */
  private LinkCondition link(DataCentreId centre) {
    double backlogMillis =
        Math.max(
            turn.state.linkBacklogs.backlogMillis(home, centre, turn.nowNanos),
            turn.state.linkBacklogs.backlogMillis(centre, home, turn.nowNanos));
    return new LinkCondition(backlogMillis, engine.linkMegabitsPerSecond(), OptionalDouble.empty());
  }
}
