package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.path.PathPart;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Counts the requests in flight at each endpoint. */
final class Usage {
  private Usage() {}

  static void begin(RelayTurn turn, OpenRequest open) {
    List<TrackedEndpoint> used = new ArrayList<>();
    if (open.path.isPresent()) {
      for (PathPart part : open.path.get().parts()) {
        turn.state.fleet.find(part.endpoint()).ifPresent(used::add);
      }
    } else {
      open.target.flatMap(turn.state.fleet::find).ifPresent(used::add);
    }
    for (TrackedEndpoint endpoint : used) {
      endpoint.requestStarted(open.tokens);
    }
    open.inUse = used;
  }

  /** Ends the present attempt; the request then uses no endpoint. */
  static void end(OpenRequest open) {
    for (TrackedEndpoint endpoint : open.inUse) {
      endpoint.requestEnded(open.tokens);
    }
    open.inUse = List.of();
    open.path = Optional.empty();
    open.target = Optional.empty();
  }
}
