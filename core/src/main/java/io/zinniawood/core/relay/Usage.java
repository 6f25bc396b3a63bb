package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.EndpointRecord;
import io.zinniawood.core.path.PathPart;

/** Counts the requests in flight at each endpoint. */
final class Usage {
  private Usage() {}

  static void begin(RelayTurn turn, OpenRequest open) {
    if (open.path.isPresent()) {
      for (PathPart part : open.path.get().parts()) {
        turn.state.fleet.find(part.endpoint()).ifPresent(EndpointRecord::requestStarted);
      }
    } else {
      open.target.flatMap(turn.state.fleet::find).ifPresent(EndpointRecord::requestStarted);
    }
  }

  /** Ends the present attempt; the request then uses no endpoint. */
  static void end(RelayTurn turn, OpenRequest open) {
    if (open.path.isPresent()) {
      for (PathPart part : open.path.get().parts()) {
        turn.state.fleet.find(part.endpoint()).ifPresent(EndpointRecord::requestEnded);
      }
    } else {
      open.target.flatMap(turn.state.fleet::find).ifPresent(EndpointRecord::requestEnded);
    }
    open.path = java.util.Optional.empty();
    open.target = java.util.Optional.empty();
  }
}
