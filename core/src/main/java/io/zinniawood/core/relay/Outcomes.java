package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import java.util.Locale;
import java.util.Optional;

/** Decides what follows when an attempt ends: pass on, send again, resume, or answer the caller. */
final class Outcomes {
  /** Most sends of one request, those that were refused without running included. */
  private static final int MAX_SENDS = 5;

  /** Shortest Retry-After: callers that come back sooner meet the same state. */
  private static final int RETRY_AFTER_MILLIS = 2_000;

  /** Random part of Retry-After, so that refused callers do not come back at one moment. */
  private static final int RETRY_AFTER_SPREAD_MILLIS = 3_000;

  private static final int SERVER_ERROR = 500;

  private Outcomes() {}

  static void answered(RelayTurn turn, RelayEvent.Answered event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null || open.attempt != event.attempt()) {
      return;
    }
    AnswerSummary answer = event.answer();
    if (answer.certainlyNotRun()) {
      disowned(turn, open, answer);
    } else if (answer.success()) {
      note(turn, open, false);
      passOn(turn, open, answer);
    } else if (!answer.signed()) {
      note(turn, open, true);
      retry(turn, open, "unsigned-answer-" + answer.status());
    } else {
      note(turn, open, answer.status() >= SERVER_ERROR);
      failureAnswered(turn, open, answer);
    }
  }

  private static void passOn(RelayTurn turn, OpenRequest open, AnswerSummary answer) {
    open.phase = OpenRequest.Phase.RELAYING;
    open.headRelayed = true;
    turn.log(
        "answer-passed-on",
        "request",
        open.logId(),
        "attempt",
        open.attempt,
        "status",
        answer.status(),
        "millis",
        turn.millisSince(open.arrivedNanos));
    turn.emit(new RelayEffect.RelayAnswer(open.id, open.attempt));
  }

  private static void failureAnswered(RelayTurn turn, OpenRequest open, AnswerSummary answer) {
    boolean again = answer.status() >= SERVER_ERROR && !open.headRelayed && mayRunAgain(turn, open);
    if (again
        && otherEndpointLeft(turn, open)
        && turn.state.retryBudget.take(open.service, turn.nowNanos)) {
      open.target.ifPresent(open.excluded::add);
      endAttempt(turn, open, "failure-" + answer.status());
      Waiting.admit(turn, open);
    } else if (open.headRelayed) {
      retry(turn, open, "failure-" + answer.status());
    } else {
      passOn(turn, open, answer);
    }
  }

  private static boolean otherEndpointLeft(RelayTurn turn, OpenRequest open) {
    for (TrackedEndpoint endpoint : turn.state.fleet.ofService(open.service)) {
      if (endpoint.usable(turn.nowNanos)
          && !open.excluded.contains(endpoint.id())
          && open.target.filter(endpoint.id()::equals).isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** The endpoint states that the request has not run and will not. */
  private static void disowned(RelayTurn turn, OpenRequest open, AnswerSummary answer) {
    open.possibleRuns--;
    Optional<TrackedEndpoint> atFault =
        answer
            .endpointAtFault()
            .flatMap(turn.state.fleet::atAddress)
            .or(() -> open.target.flatMap(turn.state.fleet::find));
    atFault.ifPresent(
        endpoint -> {
          turn.log(
              "endpoint-refused",
              "request",
              open.logId(),
              "endpoint",
              endpoint.id().value(),
              "status",
              answer.status(),
              "rowVersion",
              endpoint.entry().rowVersion());
          turn.state.fleet.avoidAfterRefusal(endpoint, turn.nowNanos);
          open.excluded.add(endpoint.id());
        });
    endAttempt(turn, open, "not-run-" + answer.status());
    again(turn, open, "not-run-" + answer.status());
  }

  static void broken(RelayTurn turn, RelayEvent.AttemptBroken event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null || open.attempt != event.attempt()) {
      return;
    }
    open.lastEventId = Math.max(open.lastEventId, event.lastEventId());
    if (event.cause() == BreakCause.NOT_SENT) {
      open.possibleRuns--;
      open.target
          .flatMap(turn.state.fleet::find)
          .ifPresent(endpoint -> Endpoints.suspect(turn, endpoint, "unreachable"));
    } else {
      note(turn, open, true);
    }
    retry(turn, open, event.cause().name().toLowerCase(Locale.ROOT).replace('_', '-'));
  }

  /** Ends the attempt and sends the request again where that is allowed. */
  static void retry(RelayTurn turn, OpenRequest open, String reason) {
    open.target.ifPresent(open.excluded::add);
    endAttempt(turn, open, reason);
    again(turn, open, reason);
  }

  private static void again(RelayTurn turn, OpenRequest open, String reason) {
    boolean neverRan = open.possibleRuns == 0;
    boolean allowed =
        open.sends < MAX_SENDS
            && turn.nowNanos - open.deadlineNanos < 0
            && (neverRan || mayRunAgain(turn, open))
            && turn.state.retryBudget.take(open.service, turn.nowNanos);
    if (allowed) {
      Waiting.admit(turn, open);
    } else {
      refuse(turn, open, reason);
    }
  }

  private static boolean mayRunAgain(RelayTurn turn, OpenRequest open) {
    return open.route.retryable()
        && open.possibleRuns < open.route.maxAttempts()
        && open.sends < MAX_SENDS
        && turn.nowNanos - open.deadlineNanos < 0;
  }

  /** Ends a request that no endpoint has: with the truth about whether it may have run. */
  static void refuse(RelayTurn turn, OpenRequest open, String reason) {
    if (open.headRelayed) {
      finish(turn, open, "broken-off", reason);
      turn.emit(new RelayEffect.AbortAnswer(open.id));
    } else if (open.possibleRuns > 0) {
      finish(turn, open, "unknown", reason);
      turn.emit(new RelayEffect.Answer(open.id, OwnAnswer.unknownOutcome(reason)));
    } else {
      long retryAfterMillis =
          RETRY_AFTER_MILLIS + turn.state.random.nextInt(RETRY_AFTER_SPREAD_MILLIS);
      finish(turn, open, "not-run", reason);
      turn.emit(new RelayEffect.Answer(open.id, OwnAnswer.notRun(reason, retryAfterMillis)));
    }
  }

  static void relayed(RelayTurn turn, RelayEvent.AnswerRelayed event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open != null && open.attempt == event.attempt()) {
      finish(turn, open, "answered", "complete");
    }
  }

  static void callerLeft(RelayTurn turn, RelayEvent.CallerLeft event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null) {
      return;
    }
    int attempt = open.attempt;
    boolean sent = open.target.isPresent();
    finish(turn, open, "caller-left", open.phase.name());
    if (sent) {
      turn.emit(new RelayEffect.CancelAttempt(open.id, attempt));
    }
  }

  /** Ends the present attempt at its endpoint; the request stays open. */
  static void endAttempt(RelayTurn turn, OpenRequest open, String reason) {
    turn.log(
        "attempt-ended",
        "request",
        open.logId(),
        "attempt",
        open.attempt,
        "endpoint",
        open.target.map(Object::toString).orElse("-"),
        "reason",
        reason,
        "possibleRuns",
        open.possibleRuns,
        "lastEventId",
        open.lastEventId,
        "millis",
        turn.millisSince(open.sentNanos));
    if (open.target.isPresent()) {
      turn.emit(new RelayEffect.CancelAttempt(open.id, open.attempt));
    }
    Usage.end(open);
  }

  /** Forgets a request and logs its outcome. */
  static void finish(RelayTurn turn, OpenRequest open, String outcome, String reason) {
    turn.log(
        "request-ended",
        "request",
        open.logId(),
        "route",
        open.route.name(),
        "outcome",
        outcome,
        "reason",
        reason,
        "sends",
        open.sends,
        "possibleRuns",
        open.possibleRuns,
        "repaths",
        open.repaths,
        "millis",
        turn.millisSince(open.arrivedNanos));
    Usage.end(open);
    turn.state.open.remove(open.id);
    turn.state.waiting.remove(open);
  }

  private static void note(RelayTurn turn, OpenRequest open, boolean failed) {
    open.target
        .flatMap(turn.state.fleet::find)
        .ifPresent(endpoint -> endpoint.recordAnswer(failed, turn.millisSince(open.sentNanos)));
  }
}
