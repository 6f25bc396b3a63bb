package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.EndpointPause;
import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointIncarnation;
import java.util.concurrent.TimeUnit;

/** Handles endpoints that want no requests from this relay for some time. */
final class EndpointPauses {
  private EndpointPauses() {}

  static void begin(RelayTurn turn, EndpointIncarnation endpoint, long pauseMillis) {
    turn.state.fleet.pause(
        endpoint, turn.nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMillis), turn.nowNanos);
    turn.log(
        "endpoint-paused",
        "endpoint",
        endpoint.endpoint().value(),
        "millis",
        pauseMillis,
        "inFlight",
        turn.state.fleet.find(endpoint.endpoint()).map(TrackedEndpoint::inFlight).orElse(0));
  }

  /** Records that the endpoints of an attempt accepted a request. */
  static void answerReceived(RelayTurn turn, RelayEvent.AnswerReceived event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open != null && open.attempt == event.attempt() && event.answer().success()) {
      open.pauseTrials.forEach(EndpointPause.Trial::accepted);
    }
  }
}
