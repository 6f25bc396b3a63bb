package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.StoreVersion;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Applies endpoint list and store events to the fleet view and logs the changes. */
final class FleetUpdates {
  private FleetUpdates() {}

  static void endpointsListed(RelayTurn turn, List<FleetEndpoint> endpoints, StoreVersion version) {
    Set<EndpointId> present = new HashSet<>();
    for (FleetEndpoint endpoint : endpoints) {
      present.add(endpoint.id());
      logChange(turn, endpoint);
    }
    for (TrackedEndpoint known : turn.state.fleet.all()) {
      if (!present.contains(known.id())) {
        logRemoval(turn, known.id(), "list", version);
      }
    }
    logIgnored(turn, turn.state.fleet.replaceAll(endpoints, version, turn.nowNanos));
  }

  /**
   * Applies changes of the endpoint list.
   *
   * @param source where the changes were read: "feed", or the VM of the relay that shared them
   * @param version version of the store up to which the changes are complete
   */
  static void endpointsChanged(
      RelayTurn turn,
      List<FleetEndpoint> changed,
      List<EndpointId> removed,
      String source,
      StoreVersion version) {
    for (FleetEndpoint endpoint : changed) {
      logChange(turn, endpoint);
    }
    for (EndpointId id : removed) {
      logRemoval(turn, id, source, version);
    }
    logIgnored(turn, turn.state.fleet.applyChanges(changed, removed, turn.nowNanos));
  }

  private static void logIgnored(RelayTurn turn, List<FleetEndpoint> ignored) {
    for (FleetEndpoint entry : ignored) {
      turn.state.ignoredLog.log(
          turn,
          "entry-ignored",
          "endpoint",
          entry.id().value(),
          "draining",
          entry.draining(),
          "sequence",
          entry.sequence(),
          "rowVersion",
          entry.rowVersion(),
          "known",
          turn.state
              .fleet
              .find(entry.id())
              .map(known -> known.entry().rowVersion().toString())
              .orElse("none"));
    }
  }

  static void storeLost(RelayTurn turn) {
    turn.log("store-lost", "routesVersion", turn.state.routesVersion());
    turn.state.fleet.storeLost();
  }

  static void storeRegained(RelayTurn turn) {
    turn.log("store-regained", "routesVersion", turn.state.routesVersion());
  }

  /** Marks an endpoint as suspected, so that it is avoided for a limited time, and logs why. */
  static void suspect(RelayTurn turn, TrackedEndpoint endpoint, String reason) {
    if (!endpoint.unresponsiveAt(turn.nowNanos)) {
      logSuspicion(turn, endpoint, reason);
    }
    turn.state.fleet.avoidAfterFailure(endpoint, turn.nowNanos);
  }

  private static void logSuspicion(RelayTurn turn, TrackedEndpoint endpoint, String reason) {
    turn.log(
        "endpoint-suspected",
        "endpoint",
        endpoint.id().value(),
        "reason",
        reason,
        "rowVersion",
        endpoint.entry().rowVersion(),
        "inFlight",
        endpoint.inFlight());
  }

  private static void logChange(RelayTurn turn, FleetEndpoint endpoint) {
    FleetEndpoint before =
        turn.state.fleet.find(endpoint.id()).map(TrackedEndpoint::entry).orElse(null);
    boolean same =
        before != null
            && before.draining() == endpoint.draining()
            && before.layers().equals(endpoint.layers())
            && before.sameIncarnation(endpoint);
    if (same) {
      return;
    }
    turn.log(
        "endpoint-listed",
        "endpoint",
        endpoint.id().value(),
        "address",
        endpoint.address().toString(),
        "service",
        endpoint.service().value(),
        "dataCentre",
        endpoint.dataCentre().value(),
        "draining",
        endpoint.draining(),
        "layers",
        endpoint.layers().map(Object::toString).orElse("none"),
        "rowVersion",
        endpoint.rowVersion());
  }

  private static void logRemoval(
      RelayTurn turn, EndpointId id, String source, StoreVersion version) {
    turn.log(
        "endpoint-removed",
        "endpoint",
        id.value(),
        "known",
        turn.state.fleet.find(id).isPresent(),
        "source",
        source,
        "version",
        version);
  }
}
