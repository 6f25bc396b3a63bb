package io.zinniawood.core.relay;

import io.zinniawood.core.path.PathPart;

/** Counts the requests in flight at each endpoint. */
final class Usage {
  private Usage() {}

  static void begin(RelayTurn turn, OpenRequest open) {
    if (open.path.isPresent()) {
      for (PathPart part : open.path.get().parts()) {
        turn.state
            .fleet
            .find(part.endpoint())
            .ifPresent(endpoint -> endpoint.requestStarted(open.tokens));
      }
    } else {
      open.target
          .flatMap(turn.state.fleet::find)
          .ifPresent(endpoint -> endpoint.requestStarted(open.tokens));
    }
  }

  /** Ends the present attempt; the request then uses no endpoint. */
  static void end(RelayTurn turn, OpenRequest open) {
    if (open.path.isPresent()) {
      for (PathPart part : open.path.get().parts()) {
        turn.state
            .fleet
            .find(part.endpoint())
            .ifPresent(endpoint -> endpoint.requestEnded(open.tokens));
      }
    } else {
      open.target
          .flatMap(turn.state.fleet::find)
          .ifPresent(endpoint -> endpoint.requestEnded(open.tokens));
    }
    open.path = java.util.Optional.empty();
    open.target = java.util.Optional.empty();
  }
}
