package io.zinniawood.core.entry;

import io.zinniawood.core.id.RequestId;

/** Ends open requests of either kind for reasons on the caller's side. */
final class OpenRequests {
  private OpenRequests() {}

  static void callerGone(Turn turn, RequestId id) {
    for (OpenRequest open : turn.state().requests().get(id)) {
      if (open instanceof OpenRequest.OfModel model) {
        turn.state()
            .sessions()
            .get(model.session())
            .forEach(s -> ModelRequests.callerGone(turn, s));
      } else if (open instanceof ServiceRequest call) {
        ServiceRequests.callerGone(turn, call);
      }
    }
  }

  static void deadline(Turn turn, RequestId id) {
    for (OpenRequest open : turn.state().requests().get(id)) {
      if (open instanceof OpenRequest.OfModel model) {
        turn.state().sessions().get(model.session()).forEach(s -> ModelRequests.deadline(turn, s));
      } else if (open instanceof ServiceRequest call) {
        ServiceRequests.deadline(turn, call);
      }
    }
  }
}
