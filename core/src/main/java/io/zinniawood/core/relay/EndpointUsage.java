package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.EndpointPause;
import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.path.PathPart;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Maintains the requests, tokens and unread prompt tokens in flight at each endpoint. */
final class EndpointUsage {
  private EndpointUsage() {}

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
      endpoint.requestStarted(open.expectedTokens);
      endpoint.requestSent(turn.nowNanos).ifPresent(open.pauseTrials::add);
    }
    open.endpointsInUse = used;
    if (open.path.isPresent()) {
      open.promptTokensCounted = open.request.promptTokens();
      addPromptTokens(open, open.promptTokensCounted);
      turn.state.ownLoad.requestSent(open.service, turn.nowNanos);
    }
  }

  private static void addPromptTokens(OpenRequest open, long tokens) {
    if (tokens != 0) {
      open.endpointsInUse.forEach(endpoint -> endpoint.addPromptTokens(tokens));
    }
  }

  /** Records that the endpoints have read the prompt, as an event shows. */
  static void promptRead(OpenRequest open) {
    addPromptTokens(open, -open.promptTokensCounted);
    open.promptTokensCounted = 0;
  }

  /** Leaves the current attempt out of the usage until {@link #resume}. */
  static void pause(OpenRequest open) {
    open.endpointsInUse.forEach(endpoint -> endpoint.requestEnded(open.expectedTokens));
    addPromptTokens(open, -open.promptTokensCounted);
  }

  /** Counts the current attempt again. */
  static void resume(OpenRequest open) {
    open.endpointsInUse.forEach(endpoint -> endpoint.requestStarted(open.expectedTokens));
    addPromptTokens(open, open.promptTokensCounted);
  }

  /** Releases the endpoints of the current attempt and clears its target and path. */
  static void end(OpenRequest open) {
    promptRead(open);
    for (TrackedEndpoint endpoint : open.endpointsInUse) {
      endpoint.requestEnded(open.expectedTokens);
    }
    open.pauseTrials.forEach(EndpointPause.Trial::end);
    open.pauseTrials.clear();
    open.endpointsInUse = List.of();
    open.path = Optional.empty();
    open.target = Optional.empty();
  }
}
