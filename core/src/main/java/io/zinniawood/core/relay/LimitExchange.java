package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.limit.EndpointLimits;
import io.zinniawood.core.limit.LimitChange;
import io.zinniawood.core.limit.StatedLimit;
import java.util.Optional;

/** Handles the limits that endpoints name in their answers. */
final class LimitExchange {
  private LimitExchange() {}

  /** Applies what the head of any answer says. */
  static void stated(RelayTurn turn, EndpointIncarnation endpoint, StatedLimit limit) {
    if (limit instanceof StatedLimit.Rate rate) {
      changed(
          turn, limits(turn).named(endpoint, rate.requestsPerSecond(), turn.nowNanos), "answer");
    }
  }

  /** Applies what the answer to an open request says. */
  static void answerReceived(RelayTurn turn, RelayEvent.AnswerReceived event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null || open.attempt != event.attempt()) {
      return;
    }
    Optional<TrackedEndpoint> target = open.target.flatMap(turn.state.fleet::find);
    target.ifPresent(
        endpoint ->
            changed(
                turn,
                limits(turn)
                    .answered(
                        endpoint.incarnation(),
                        event.answer().limit(),
                        open.sentNanos,
                        turn.nowNanos),
                "answer"));
  }

  private static EndpointLimits limits(RelayTurn turn) {
    return turn.state.fleet.limits();
  }

  private static void changed(RelayTurn turn, Optional<LimitChange> change, String source) {
    change.ifPresent(
        changed ->
            turn.log(
                changed.afterPerSecond().isPresent() ? "endpoint-limited" : "endpoint-limit-ended",
                "endpoint",
                changed.endpoint().endpoint().value(),
                "startedMillis",
                changed.endpoint().startedMillis(),
                "requestsPerSecond",
                changed.afterPerSecond().orElse(0),
                "before",
                changed.beforePerSecond().orElse(0),
                "source",
                source));
  }
}
