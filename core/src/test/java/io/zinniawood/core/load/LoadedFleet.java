package io.zinniawood.core.load;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.fleet.FleetView;
import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.model.NodeAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Endpoints of one service as one relay sees them. */
final class LoadedFleet {
  static final ServiceName SERVICE = new ServiceName("model");

  final List<TrackedEndpoint> endpoints;

  LoadedFleet(int count) {
    FleetView view = new FleetView();
    StoreVersion version = new StoreVersion(StoreEra.UNNAMED, 1);
    List<FleetEndpoint> rows = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      rows.add(
          new FleetEndpoint(
              new EndpointId("i-%08x".formatted(index * 0x9e3779b9)),
              SERVICE,
              new NodeAddress("10.0.0.1", 2_000 + index),
              new DataCentreId("home"),
              6,
              false,
              Optional.empty(),
              Optional.empty(),
              1,
              0,
              version));
    }
    view.replaceAll(rows, version, 0);
    endpoints = rows.stream().map(row -> view.find(row.id()).orElseThrow()).toList();
  }

  OwnLoad.Service service() {
    return new OwnLoad.Service(SERVICE, endpoints);
  }

  /** Adds requests of 640 tokens, of which 320 are in prompts without an event. */
  LoadedFleet load(int index, int requests) {
    for (int request = 0; request < requests; request++) {
      endpoints.get(index).requestStarted(640);
      endpoints.get(index).addPromptTokens(320);
    }
    return this;
  }
}
