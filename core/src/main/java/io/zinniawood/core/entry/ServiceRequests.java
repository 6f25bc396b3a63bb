package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;

/**
 * Accepts calls of plain services, and ends them on an answer, at the deadline or when the caller
 * disconnects.
 */
final class ServiceRequests {
  private ServiceRequests() {}

  static void arrived(Turn turn, EntryEvent.ServiceRequestArrived event) {
    if (turn.state().requests().containsKey(event.request())) {
      return;
    }
    String target = event.service().value();
    Option<Problem> refusal =
        Admission.admit(turn, event.clientAccount(), target, event.deadlineNanos());
    if (refusal.isDefined()) {
      RequestCompletion.refuse(
          turn,
          event.request(),
          event.clientAccount(),
          target,
          CallRefusals.limitToThisCopy(event, refusal.get()));
      return;
    }
    Retries.countRequest(turn);
    ServiceRequest request = ServiceRequest.create(event, turn.nowNanos());
    OpenRequests.put(turn, request.id(), request);
    turn.startTimer(
        new EntryTimer.RequestDeadline(event.request()), event.deadlineNanos() - turn.nowNanos());
    if (turn.cluster().services().containsKey(event.service())) {
      Claims.start(turn, request);
    } else {
      RequestCompletion.failService(
          turn,
          request,
          CallRefusals.limitToThisCopy(
              event,
              Problem.notRun(
                  ProblemType.NOT_FOUND,
                  "service %s is not configured".formatted(event.service()))));
    }
  }

  /**
   * Answers the caller with the result of the current attempt; ignores results of other attempts.
   */
  static void replied(Turn turn, EndpointId endpoint, Message.DispatchReply message) {
    turn.updateMember(endpoint, member -> member.with(member.announced().withLoad(message.load())));
    for (ServiceRequest request :
        OpenRequests.callWithAttempt(turn, message.request(), message.attempt())) {
      EndpointHealthTracker.recordSuccess(turn, endpoint);
      RequestCompletion.finishService(turn, request, message.answer(), Option.some(endpoint));
    }
  }

  /** Ends a call at its deadline. The outcome is not-run only if no attempt may have started. */
  static void deadlinePassed(Turn turn, ServiceRequest request) {
    Attempts.cancelOwn(turn, request);
    boolean refusing =
        request.current().exists(attempt -> attempt.phase() == AttemptPhase.REFUSING);
    if (refusing || (request.usesClaim() && request.current().isEmpty())) {
      CallRefusals.failUnconfirmed(turn, request);
      return;
    }
    boolean waitsForOther = request.current().exists(attempt -> !attempt.isOwn());
    Problem problem;
    if (waitsForOther) {
      problem = Claims.inProgressProblem();
    } else if (request.mayHaveStarted()) {
      problem =
          Problem.unknown(ProblemType.DEADLINE_EXCEEDED, "the deadline passed without an answer");
    } else {
      problem =
          Problem.notRun(
              ProblemType.DEADLINE_EXCEEDED, "the deadline passed before the call started");
    }
    RequestCompletion.failService(turn, request, problem);
  }

  /** Cancels the call of a caller that disconnected and records the result. */
  static void callerDisconnected(Turn turn, ServiceRequest request) {
    Attempts.cancelOwn(turn, request);
    RequestCompletion.recordServiceResult(
        turn,
        request,
        request.mayHaveStarted() ? Outcome.UNKNOWN : Outcome.NOT_RUN,
        Option.none(),
        request.current().map(Attempt::endpoint));
  }
}
