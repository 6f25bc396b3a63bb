package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.runtime.FailureDescription;

/**
 * Contains the failure of a decision: its changes and effects are dropped as a whole, it is
 * recorded as an incident, and the request concerned gets its end. The decisions for others go on.
 */
final class FailureContainment {
  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final long TIMER_RETRY_NANOS = 1_000_000_000L;
  private static final String DETAIL = "the entry failed to decide on the request";

  private FailureContainment() {}

  /** Handles an event. */
  static void handle(Turn turn, EntryEvent event) {
    boolean done =
        run(
            turn,
            event.getClass().getSimpleName(),
            ConcernedRequest.of(turn.state(), event),
            () -> event.accept(new EntryEventDispatcher(turn)));
    if (!done) {
      followUp(turn, event);
    }
  }

  /**
   * Runs a decision; returns whether it succeeded.
   *
   * @param subject name of the decision in the incident
   * @param request request that the decision concerns; none if it concerns none or several
   */
  static boolean run(Turn turn, String subject, Option<RequestId> request, Runnable decision) {
    Turn.Savepoint before = turn.savepoint();
    try {
      decision.run();
      return true;
    } catch (RuntimeException | Error failure) {
      turn.restore(before);
      String detail = FailureDescription.of(failure).toString();
      if (request.isDefined()) {
        turn.recordIncident(
            IncidentKind.DECISION_FAILED, subject + " of request " + request.get(), detail);
        endIfOpen(turn, request.get());
      } else {
        turn.recordIncidentOnce(IncidentKind.DECISION_FAILED, subject, detail);
      }
      return false;
    }
  }

  private static void endIfOpen(Turn turn, RequestId id) {
    for (OpenRequest open : turn.state().requests().get(id)) {
      Turn.Savepoint before = turn.savepoint();
      try {
        end(turn, open);
      } catch (RuntimeException | Error failure) {
        turn.restore(before);
        remove(turn, id, open);
      }
    }
  }

  private static void end(Turn turn, OpenRequest open) {
    if (open instanceof ServiceRequest call) {
      Attempts.cancelOwn(turn, call);
      RequestCompletion.failService(turn, call, problem(call));
    } else if (open instanceof OpenRequest.ModelRequest model) {
      Session session = turn.state().sessions().get(model.session()).get();
      StageSessions.close(turn, session);
      RequestCompletion.failModel(turn, session, problem(session));
    }
  }

  /** Ends a request without relying on the state that made its decisions fail. */
  private static void remove(Turn turn, RequestId id, OpenRequest open) {
    turn.update(state -> state.withRequests(state.requests().remove(id)));
    turn.cancelTimer(new EntryTimer.RequestDeadline(id));
    if (open instanceof ServiceRequest call) {
      EntryEvent.ServiceRequestArrived arrival = call.arrival();
      removed(turn, id, arrival.clientAccount(), arrival.service().value(), problem(call));
    } else if (open instanceof OpenRequest.ModelRequest model) {
      Option<Session> found = turn.state().sessions().get(model.session());
      turn.update(state -> state.withSessions(state.sessions().remove(model.session())));
      found.forEach(
          session ->
              removed(
                  turn,
                  id,
                  session.arrival().clientAccount(),
                  session.arrival().model().value(),
                  problem(session)));
    }
  }

  private static void removed(
      Turn turn, RequestId id, ClientAccountId account, String target, Problem problem) {
    RequestCompletion.refuse(turn, id, account, target, problem);
    run(turn, "admission", Option.none(), () -> Admission.release(turn, account));
    run(turn, "drain", Option.none(), () -> Drain.stopIfIdle(turn));
  }

  private static Problem problem(ServiceRequest call) {
    return Attempts.withOutcomeOfRequest(
        call, CallRefusals.limitToThisCopy(call.arrival(), notRun()));
  }

  private static Problem problem(Session session) {
    return session.inputSent() ? Problem.unknown(ProblemType.INTERNAL, DETAIL) : notRun();
  }

  private static Problem notRun() {
    return Problem.notRunRetry(ProblemType.INTERNAL, DETAIL, RETRY_AFTER_MILLIS);
  }

  /** Does what no later event would make up for after the handling of an event failed. */
  private static void followUp(Turn turn, EntryEvent event) {
    if (event instanceof EntryEvent.ModelRequestArrived arrived) {
      RequestCompletion.refuse(
          turn, arrived.request(), arrived.clientAccount(), arrived.model().value(), notRun());
    } else if (event instanceof EntryEvent.ServiceRequestArrived arrived) {
      RequestCompletion.refuse(
          turn,
          arrived.request(),
          arrived.clientAccount(),
          arrived.service().value(),
          CallRefusals.limitToThisCopy(arrived, notRun()));
    } else if (event instanceof EntryEvent.TimerFired fired
        && ConcernedRequest.of(turn.state(), event).isEmpty()) {
      turn.startTimer(fired.timer(), TIMER_RETRY_NANOS);
    } else if (event instanceof EntryEvent.AgentConnected connected) {
      Connections.reopen(turn, connected.identity().endpoint());
    } else if (event instanceof EntryEvent.AgentDisconnected disconnected) {
      Connections.reopen(turn, disconnected.endpoint());
    } else if (event instanceof EntryEvent.AgentConnectFailed failed) {
      Connections.reopen(turn, failed.endpoint());
    }
  }
}
