package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointIncarnation;
import java.util.List;
import java.util.Optional;

/** Handles what endpoints say about themselves in their answers, and tells the other relays. */
final class EndpointStatements {
  private EndpointStatements() {}

  static void stated(RelayTurn turn, RelayEvent.EndpointStated event) {
    event
        .statement()
        .unreadable()
        .ifPresent(
            header ->
                turn.log(
                    "endpoint-statement-unreadable",
                    "endpoint",
                    event.endpoint().endpoint().value(),
                    "header",
                    header));
    event
        .statement()
        .pauseMillis()
        .ifPresent(millis -> EndpointPauses.begin(turn, event.endpoint(), millis));
    LimitExchange.stated(turn, event.endpoint(), event.statement().limit());
    if (event.statement().leaving() && learnLeaving(turn, event.endpoint(), "answer")) {
      PeerExchange.send(turn, Optional.empty());
    }
  }

  /** Applies what another relay learned. */
  static void noticeReceived(RelayTurn turn, PeerMessage message) {
    for (EndpointIncarnation leaving : message.leaving()) {
      learnLeaving(turn, leaving, message.vm().value());
    }
  }

  /** Returns the leaving endpoints for the next message; they are told in turn. */
  static List<EndpointIncarnation> notice(RelayTurn turn) {
    return turn.state.fleet.leaving().nextNotice(leaving -> listed(turn, leaving));
  }

  /** Returns whether other relays may still use this start of an endpoint. */
  static boolean listed(RelayTurn turn, EndpointIncarnation endpoint) {
    return turn.state
        .fleet
        .find(endpoint.endpoint())
        .filter(known -> known.incarnation().startedMillis() <= endpoint.startedMillis())
        .isPresent();
  }

  private static boolean learnLeaving(RelayTurn turn, EndpointIncarnation leaving, String source) {
    if (!turn.state.fleet.leaving().add(leaving)) {
      return false;
    }
    turn.log(
        "endpoint-leaving",
        "endpoint",
        leaving.endpoint().value(),
        "startedMillis",
        leaving.startedMillis(),
        "source",
        source,
        "inFlight",
        turn.state.fleet.find(leaving.endpoint()).map(TrackedEndpoint::inFlight).orElse(0));
    return true;
  }
}
