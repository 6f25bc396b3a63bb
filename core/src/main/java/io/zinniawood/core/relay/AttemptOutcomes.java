package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import java.util.Optional;

/** Handles the end of an attempt: relays the answer, retries, resumes or refuses the request. */
final class AttemptOutcomes {
  /** Maximum sends of one request, including those that were refused without running. */
  private static final int MAX_SENDS = 5;

  /** Minimum Retry-After; callers that retry sooner find the fleet in the same state. */
  private static final int RETRY_AFTER_MILLIS = 2_000;

  /** Range of the random addition to Retry-After, which spreads the retries of refused callers. */
  private static final int RETRY_AFTER_SPREAD_MILLIS = 3_000;

  private static final int SERVER_ERROR = 500;

  private AttemptOutcomes() {}

  static void answerReceived(RelayTurn turn, RelayEvent.AnswerReceived event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null || open.attempt != event.attempt()) {
      return;
    }
    AnswerSummary answer = event.answer();
    if (answer.certainlyNotRun()) {
      handleNotRun(turn, open, answer);
    } else if (answer.success()) {
      recordResult(turn, open, false);
      if (!open.streaming()) {
        CrashWatch.answerBegun(turn, open);
      }
      relayAnswer(turn, open, answer);
    } else if (!answer.signed()) {
      recordFailure(turn, open, answer);
      retry(turn, open, "unsigned-answer-" + answer.status());
    } else {
      recordFailure(turn, open, answer);
      if (!open.streaming()) {
        CrashWatch.answerBegun(turn, open);
      }
      handleFailure(turn, open, answer);
    }
  }

  private static void relayAnswer(RelayTurn turn, OpenRequest open, AnswerSummary answer) {
    open.phase = OpenRequest.Phase.RELAYING;
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

  private static void handleFailure(RelayTurn turn, OpenRequest open, AnswerSummary answer) {
    boolean retryAllowed =
        answer.status() >= SERVER_ERROR && !open.headRelayed && mayRunAgain(turn, open);
    if (retryAllowed
        && hasOtherUsableEndpoint(turn, open)
        && turn.state.retryBudget.tryAcquire(open.service, turn.nowNanos)) {
      open.target.ifPresent(open.excluded::add);
      endAttempt(turn, open, "failure-" + answer.status());
      WaitingQueue.dispatchOrEnqueue(turn, open);
    } else if (open.headRelayed) {
      retry(turn, open, "failure-" + answer.status());
    } else {
      relayAnswer(turn, open, answer);
    }
  }

  private static boolean hasOtherUsableEndpoint(RelayTurn turn, OpenRequest open) {
    for (TrackedEndpoint endpoint : turn.state.fleet.ofService(open.service)) {
      if (endpoint.usable(turn.nowNanos)
          && !endpoint.limitReached(turn.nowNanos)
          && !open.excluded.contains(endpoint.id())
          && open.target.filter(endpoint.id()::equals).isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** Handles an answer which states that the request did not run; the request may go elsewhere. */
  private static void handleNotRun(RelayTurn turn, OpenRequest open, AnswerSummary answer) {
    open.possibleRuns--;
    Optional<TrackedEndpoint> atFault =
        answer
            .endpointAtFault()
            .flatMap(open::endpointInUseAt)
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
          if (answer.misdirected()) {
            endpoint.entryRefuted();
          } else if (!answer.refusedForTime() || !open.isTarget(endpoint)) {
            turn.state.fleet.avoidAfterRefusal(endpoint, turn.nowNanos);
          }
          open.excluded.add(endpoint.id());
        });
    endAttempt(turn, open, "not-run-" + answer.status());
    retryOrRefuse(turn, open, "not-run-" + answer.status());
  }

  static void attemptFailed(RelayTurn turn, RelayEvent.AttemptFailed event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null || open.attempt != event.attempt()) {
      return;
    }
    open.lastEventId = Math.max(open.lastEventId, event.lastEventId());
    open.headRelayed |= event.lastEventId() > open.request.resumeAfter();
    String reason = event.cause().logName();
    if (event.cause() == AttemptFailureCause.INTERNAL_FAILURE) {
      if (open.target.isPresent()) {
        endAttempt(turn, open, reason);
      }
      refuse(turn, open, reason);
      return;
    }
    if (event.cause() == AttemptFailureCause.TIME_LIMIT) {
      Deadlines.end(turn, open, reason);
      return;
    }
    if (event.cause() == AttemptFailureCause.NOT_SENT) {
      retryNotSent(turn, open, reason);
      return;
    }
    recordResult(turn, open, true);
    if (event.cause() == AttemptFailureCause.CONNECTION_LOST) {
      CrashWatch.connectionLost(turn, open);
    }
    retry(turn, open, reason);
  }

  /**
   * Retries a request that did not reach its endpoint. The endpoint is avoided until it responds
   * but not excluded for this request, and the attempt does not count against the retry budget.
   */
  private static void retryNotSent(RelayTurn turn, OpenRequest open, String reason) {
    open.possibleRuns--;
    open.target
        .flatMap(turn.state.fleet::find)
        .ifPresent(endpoint -> FleetUpdates.suspect(turn, endpoint, "unreachable"));
    if (open.sends > 1) {
      turn.state.retryBudget.release(open.service, turn.nowNanos);
    }
    endAttempt(turn, open, reason);
    retryOrRefuse(turn, open, reason);
  }

  /** Ends the attempt and retries the request if that is allowed; refuses it otherwise. */
  static void retry(RelayTurn turn, OpenRequest open, String reason) {
    open.target.ifPresent(open.excluded::add);
    endAttempt(turn, open, reason);
    retryOrRefuse(turn, open, reason);
  }

  /**
   * Replaces the attempt of a request whose endpoint is silent, if another attempt can be sent at
   * once and the retry budget allows it. Otherwise the attempt goes on, as a sound endpoint may be
   * silent for a moment.
   *
   * @return whether the attempt was replaced
   */
  static boolean replace(RelayTurn turn, OpenRequest open, String reason) {
    boolean replaceable =
        mayRunAgain(turn, open)
            && !GracePeriod.tooLate(turn, open)
            && !CrashWatch.mustWait(turn, open)
            && CrashWatch.held(turn, open).isEmpty()
            && Dispatcher.replacementExists(turn, open)
            && turn.state.retryBudget.tryAcquire(open.service, turn.nowNanos);
    if (replaceable) {
      open.target.ifPresent(open.excluded::add);
      endAttempt(turn, open, reason);
      WaitingQueue.dispatchOrEnqueue(turn, open);
    }
    return replaceable;
  }

  private static void retryOrRefuse(RelayTurn turn, OpenRequest open, String reason) {
    boolean neverRan = open.possibleRuns == 0;
    boolean allowed =
        open.sends < MAX_SENDS
            && turn.nowNanos - open.deadlineNanos < 0
            && (neverRan || mayRunAgain(turn, open))
            && turn.state.retryBudget.tryAcquire(open.service, turn.nowNanos);
    if (allowed) {
      WaitingQueue.dispatchOrEnqueue(turn, open);
    } else {
      refuse(turn, open, reason);
    }
  }

  /** Returns whether a request that may have run may be sent once more. */
  static boolean mayRunAgain(RelayTurn turn, OpenRequest open) {
    return open.route.retryable()
        && !GracePeriod.tooLate(turn, open)
        && open.possibleRuns < open.route.maxAttempts()
        && open.sends < MAX_SENDS
        && turn.nowNanos - open.deadlineNanos < 0;
  }

  /**
   * Ends a request that is at no endpoint. Aborts an answer that has begun; otherwise the answer
   * states whether the request may have run.
   */
  static void refuse(RelayTurn turn, OpenRequest open, String reason) {
    refuse(turn, open, reason, 0);
  }

  /**
   * Ends a request that is at no endpoint, as above.
   *
   * @param minRetryAfterMillis time, in milliseconds, before which a repeat would be refused as
   *     well
   */
  static void refuse(RelayTurn turn, OpenRequest open, String reason, long minRetryAfterMillis) {
    if (open.headRelayed || open.possibleRuns > 0) {
      refuseFor(turn, open, reason, 0);
    } else {
      long retryAfterMillis =
          Math.max(RETRY_AFTER_MILLIS, minRetryAfterMillis)
              + turn.state.random.nextInt(RETRY_AFTER_SPREAD_MILLIS);
      refuseFor(turn, open, reason, retryAfterMillis);
    }
  }

  /**
   * Ends a request that is at no endpoint, as above, with an exact Retry-After if it did not run.
   */
  static void refuseFor(RelayTurn turn, OpenRequest open, String reason, long retryAfterMillis) {
    if (open.headRelayed) {
      complete(turn, open, "broken-off", reason);
      turn.emit(new RelayEffect.AbortAnswer(open.id));
    } else if (open.possibleRuns > 0) {
      complete(turn, open, "unknown", reason);
      turn.emit(new RelayEffect.AnswerLocally(open.id, LocalAnswer.unknownOutcome(reason)));
    } else {
      complete(turn, open, "not-run", reason);
      turn.emit(
          new RelayEffect.AnswerLocally(open.id, LocalAnswer.notRun(reason, retryAfterMillis)));
    }
  }

  static void answerRelayed(RelayTurn turn, RelayEvent.AnswerRelayed event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open != null && open.attempt == event.attempt()) {
      turn.state.durations.record(
          open.service, open.estimatedMillis, turn.millisSince(open.sentNanos));
      open.evidence = Optional.of(event.evidence());
      complete(turn, open, "answered", "complete");
      WaitingQueue.dispatchAfterEnd(turn, open);
    }
  }

  static void callerDisconnected(RelayTurn turn, RelayEvent.CallerDisconnected event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null) {
      return;
    }
    int attempt = open.attempt;
    boolean sent = open.target.isPresent();
    complete(turn, open, "caller-left", open.phase.name());
    if (sent) {
      turn.emit(new RelayEffect.CancelAttempt(open.id, attempt));
    }
  }

  /** Logs and cancels the current attempt; the request stays open. */
  static void endAttempt(RelayTurn turn, OpenRequest open, String reason) {
    turn.logSuspicious(
        SuspiciousAnswers.isReason(reason),
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
        "firstEvent",
        open.firstEventRelayed,
        "sharedParts",
        open.logSharedParts(),
        "lastEventId",
        open.lastEventId,
        "millis",
        turn.millisSince(open.sentNanos));
    if (open.target.isPresent()) {
      turn.emit(new RelayEffect.CancelAttempt(open.id, open.attempt));
    }
    CrashWatch.trialEnded(turn, open);
    EndpointUsage.end(open);
  }

  /** Logs the outcome of a request and removes it. */
  static void complete(RelayTurn turn, OpenRequest open, String outcome, String reason) {
    turn.logSuspicious(
        SuspiciousAnswers.isReason(reason)
            || open.evidence.filter(SuspiciousAnswers::isUnusual).isPresent(),
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
        "end",
        open.evidence.map(AnswerEvidence::endName).orElse("-"),
        "skippedAnswers",
        open.evidence.map(AnswerEvidence::skippedAnswers).orElse(0),
        "connectionReused",
        open.evidence.map(AnswerEvidence::connectionReused).orElse(false),
        "foreignHead",
        open.evidence.map(AnswerEvidence::foreignHeadName).orElse("-"),
        "millisLeft",
        open.evidence.map(AnswerEvidence::millisLeft).orElse(0L),
        "millis",
        turn.millisSince(open.arrivedNanos));
    GracePeriod.logEnd(turn, open, outcome, reason);
    CrashWatch.trialEnded(turn, open);
    turn.state.waitingRules.ended(turn, open);
    EndpointUsage.end(open);
    turn.state.open.remove(open.id);
    turn.state.waiting.remove(open);
  }

  private static void recordFailure(RelayTurn turn, OpenRequest open, AnswerSummary answer) {
    if (!answer.refusedForTime()) {
      recordResult(turn, open, !answer.signed() || answer.status() >= SERVER_ERROR);
    }
  }

  private static void recordResult(RelayTurn turn, OpenRequest open, boolean failed) {
    open.target
        .flatMap(turn.state.fleet::find)
        .ifPresent(endpoint -> endpoint.recordAnswer(failed, turn.millisSince(open.sentNanos)));
  }
}
