package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.ServiceAnswer;

/**
 * Ends requests: sends the final answer to the caller and records the result. No other class does
 * either.
 */
final class RequestCompletion {
  private RequestCompletion() {}

  /** Refuses a request that was not admitted. */
  static void refuse(
      Turn turn, RequestId request, ClientAccountId account, String target, Problem problem) {
    turn.emit(new EntryEffect.ReplyProblem(request, problem));
    turn.emit(
        new EntryEffect.RecordResult(
            new RequestResult(
                request,
                account,
                target,
                problem.outcome(),
                Option.some(problem.type()),
                0,
                Option.none(),
                Option.none(),
                0,
                0,
                Option.none())));
  }

  /** Completes a model request. */
  static void finishModel(Turn turn, Session session, FinishReason reason) {
    turn.emit(
        new EntryEffect.FinishAnswer(
            session.arrival().request(), reason, session.progress().nextPosition()));
    recordModelResult(turn, session, Outcome.COMPLETED, Option.none());
  }

  /** Answers a model request with a problem. */
  static void failModel(Turn turn, Session session, Problem problem) {
    turn.emit(new EntryEffect.ReplyProblem(session.arrival().request(), problem));
    recordModelResult(turn, session, problem.outcome(), Option.some(problem.type()));
  }

  /** Records the result of a model request and removes its state. Sends nothing to the caller. */
  static void recordModelResult(
      Turn turn, Session session, Outcome outcome, Option<ProblemType> problem) {
    var arrival = session.arrival();
    DeliveryProgress progress = session.progress();
    sampleDuration(
        turn,
        arrival.model().value(),
        outcome,
        problem,
        progress
            .timeToFirstTokenNanos()
            .getOrElse(() -> turn.nowNanos() - progress.arrivedNanos()));
    recordResult(
        turn,
        new RequestResult(
            arrival.request(),
            arrival.clientAccount(),
            arrival.model().value(),
            outcome,
            problem,
            turn.nowNanos() - progress.arrivedNanos(),
            progress.timeToFirstTokenNanos(),
            progress.slowestGapIfAny(),
            progress.nextPosition(),
            Math.toIntExact(session.epoch().value()) + session.sessionsUsed() - 1,
            session.chain().lastOption().map(stage -> stage.endpoint())));
    turn.update(state -> state.withSessions(state.sessions().remove(session.id())));
  }

  /** Completes a service call with its answer. */
  static void finishService(
      Turn turn, ServiceRequest request, ServiceAnswer answer, Option<EndpointId> endpoint) {
    turn.emit(new EntryEffect.ReplyServiceAnswer(request.arrival().request(), answer));
    recordServiceResult(turn, request, Outcome.COMPLETED, Option.none(), endpoint);
  }

  /** Answers a service call with a problem. */
  static void failService(Turn turn, ServiceRequest request, Problem problem) {
    turn.emit(new EntryEffect.ReplyProblem(request.arrival().request(), problem));
    recordServiceResult(
        turn,
        request,
        problem.outcome(),
        Option.some(problem.type()),
        request.current().map(Attempt::endpoint));
  }

  /** Records the result of a service call and removes its state. Sends nothing to the caller. */
  static void recordServiceResult(
      Turn turn,
      ServiceRequest request,
      Outcome outcome,
      Option<ProblemType> problem,
      Option<EndpointId> endpoint) {
    var arrival = request.arrival();
    Attempts.releaseSlot(turn, request);
    sampleDuration(
        turn,
        arrival.service().value(),
        outcome,
        problem,
        turn.nowNanos() - request.arrivedNanos());
    recordResult(
        turn,
        new RequestResult(
            arrival.request(),
            arrival.clientAccount(),
            arrival.service().value(),
            outcome,
            problem,
            turn.nowNanos() - request.arrivedNanos(),
            Option.none(),
            Option.none(),
            0,
            request.attempts(),
            endpoint));
  }

  /**
   * Adds a duration to the latency estimate on which admission relies. A request that missed its
   * deadline counts with the time until then; other failures do not count.
   */
  private static void sampleDuration(
      Turn turn, String target, Outcome outcome, Option<ProblemType> problem, long durationNanos) {
    if (outcome == Outcome.COMPLETED || problem.contains(ProblemType.DEADLINE_EXCEEDED)) {
      turn.update(
          state ->
              state.withUsage(
                  state.usage().withDurationSample(target, durationNanos, turn.nowNanos())));
    }
  }

  private static void recordResult(Turn turn, RequestResult result) {
    turn.cancelTimer(new EntryTimer.RequestDeadline(result.request()));
    turn.emit(new EntryEffect.RecordResult(result));
    if (result.outcome() == Outcome.UNKNOWN && result.problem().isDefined()) {
      turn.recordIncident(
          IncidentKind.OUTCOME_UNKNOWN,
          result.request().value(),
          "request to %s of client account %s ended with outcome unknown (%s) after %d attempts"
              .formatted(
                  result.target(),
                  result.clientAccount(),
                  result.problem().get().slug(),
                  result.attempts()));
    }
    turn.update(state -> state.withRequests(state.requests().remove(result.request())));
    Admission.release(turn, result.clientAccount());
    Drain.stopIfIdle(turn);
  }
}
