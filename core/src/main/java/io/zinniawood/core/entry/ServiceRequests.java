package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;

/** Takes calls of plain services and drives their attempts. */
final class ServiceRequests {
  private ServiceRequests() {}

  static void arrived(Turn turn, EntryEvent.ServiceRequestArrived event) {
    if (turn.state().requests().containsKey(event.request())) {
      return;
    }
    Option<Problem> refusal = Admission.admit(turn, event.clientAccount(), event.deadlineNanos());
    if (refusal.isDefined()) {
      Answers.refuse(
          turn, event.request(), event.clientAccount(), event.service().value(), refusal.get());
      return;
    }
    ServiceRequest request = ServiceRequest.first(event, turn.nowNanos());
    put(turn, request);
    turn.startTimer(
        new EntryTimer.RequestDeadline(event.request()), event.deadlineNanos() - turn.nowNanos());
    if (!turn.cluster().services().containsKey(event.service())) {
      Answers.failService(
          turn,
          request,
          Problem.notRun(
              ProblemType.NOT_FOUND, "service %s is not configured".formatted(event.service())));
      return;
    }
    dispatch(turn, request);
  }

  /** Sends a new attempt to the best endpoint. */
  static void dispatch(Turn turn, ServiceRequest request) {
    var arrival = request.arrival();
    Option<Member> target =
        Selection.service(turn, arrival.service(), request.avoid(), arrival.priority());
    if (target.isEmpty()) {
      Answers.failService(turn, request, noEndpoint(turn, request));
      return;
    }
    Member member = target.get();
    Attempt attempt =
        new Attempt(
            turn.nextAttempt(),
            member.endpoint(),
            member.incarnation().get(),
            AttemptPhase.SENT,
            true,
            turn.nowNanos());
    ServiceRequest sent = request.dispatched(attempt);
    put(turn, sent);
    turn.updateMember(member.endpoint(), known -> known.taken(known.pass()));
    turn.send(attempt.endpoint(), attempt.incarnation(), dispatchMessage(turn, sent, attempt));
    turn.startTimer(
        new EntryTimer.AttemptTimeout(arrival.request(), attempt.id()),
        turn.cluster().retries().attemptTimeoutMillis() * 1_000_000);
  }

  static void replied(Turn turn, Message.DispatchReply message) {
    withAttempt(turn, message.request(), message.attempt())
        .forEach(
            request -> {
              Attempt attempt = request.current().get();
              release(turn, attempt);
              Answers.finishService(
                  turn, request, message.answer(), Option.some(attempt.endpoint()));
            });
  }

  static void refused(Turn turn, Message.DispatchRefused message) {
    withAttempt(turn, message.request(), message.attempt())
        .forEach(
            request -> {
              release(turn, request.current().get());
              String detail = "the attempt was refused: " + message.reason();
              Answers.failService(
                  turn,
                  request,
                  message.outcome() == Outcome.NOT_RUN
                      ? Problem.notRunRetry(ProblemType.OVERLOADED, detail, 200)
                      : Problem.unknown(ProblemType.ENDPOINT_FAILED, detail));
            });
  }

  static void deadline(Turn turn, ServiceRequest request) {
    cancel(turn, request);
    String detail = "the deadline passed without an answer";
    boolean unknown = request.mayHaveRun() || request.current().isDefined();
    Answers.failService(
        turn,
        request,
        unknown
            ? Problem.unknown(ProblemType.DEADLINE_EXCEEDED, detail)
            : Problem.notRun(ProblemType.DEADLINE_EXCEEDED, detail));
  }

  static void callerGone(Turn turn, ServiceRequest request) {
    cancel(turn, request);
    boolean unknown = request.mayHaveRun() || request.current().isDefined();
    Answers.endService(
        turn,
        request,
        unknown ? Outcome.UNKNOWN : Outcome.NOT_RUN,
        Option.none(),
        request.current().map(Attempt::endpoint));
  }

  private static void cancel(Turn turn, ServiceRequest request) {
    for (Attempt attempt : request.current()) {
      release(turn, attempt);
      if (attempt.owned()) {
        turn.send(
            attempt.endpoint(),
            attempt.incarnation(),
            new Message.CancelDispatch(request.arrival().request(), attempt.id()));
      }
    }
  }

  private static void release(Turn turn, Attempt attempt) {
    turn.updateMember(attempt.endpoint(), member -> member.released());
  }

  private static Option<ServiceRequest> withAttempt(Turn turn, RequestId id, AttemptId attempt) {
    return turn.state()
        .requests()
        .get(id)
        .filter(open -> open instanceof ServiceRequest)
        .map(open -> (ServiceRequest) open)
        .filter(request -> request.current().exists(current -> current.id().equals(attempt)));
  }

  private static void put(Turn turn, ServiceRequest request) {
    turn.update(
        state -> state.withRequests(state.requests().put(request.arrival().request(), request)));
  }

  private static Problem noEndpoint(Turn turn, ServiceRequest request) {
    var service = request.arrival().service();
    return Selection.serviceExists(turn, service)
        ? Problem.notRunRetry(
            ProblemType.OVERLOADED, "every endpoint of %s is at its limit".formatted(service), 200)
        : Problem.notRunRetry(
            ProblemType.NO_ENDPOINT, "no endpoint serves %s".formatted(service), 500);
  }

  private static Message.Dispatch dispatchMessage(
      Turn turn, ServiceRequest request, Attempt attempt) {
    var arrival = request.arrival();
    return new Message.Dispatch(
        arrival.request(),
        attempt.id(),
        attempt.incarnation(),
        arrival.clientAccount(),
        arrival.service(),
        arrival.call(),
        arrival.idempotency(),
        arrival.key(),
        request.fence(),
        Math.max(0, arrival.deadlineNanos() - turn.nowNanos()) / 1_000_000,
        Admission.weight(turn, arrival.clientAccount()));
  }
}
