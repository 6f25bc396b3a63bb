package io.zinniawood.core.entry;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.RequestId;
import java.util.function.Consumer;

/**
 * Finds open requests, and passes disconnects, deadlines and retry delays to the handlers of model
 * requests or service calls.
 */
final class OpenRequests {
  private OpenRequests() {}

  static void put(Turn turn, RequestId id, OpenRequest open) {
    turn.update(state -> state.withRequests(state.requests().put(id, open)));
  }

  /** Ends a request whose caller disconnected; ignores requests that have ended. */
  static void callerDisconnected(Turn turn, RequestId id) {
    visit(
        turn,
        id,
        session -> ModelRequests.callerDisconnected(turn, session),
        call -> ServiceRequests.callerDisconnected(turn, call));
  }

  /** Ends a request whose deadline has passed; ignores requests that have ended. */
  static void deadlinePassed(Turn turn, RequestId id) {
    visit(
        turn,
        id,
        session -> ModelRequests.deadlinePassed(turn, session),
        call -> ServiceRequests.deadlinePassed(turn, call));
  }

  /** Continues a request after its retry delay; ignores requests that have ended. */
  static void retryDelayElapsed(Turn turn, RequestId id) {
    visit(
        turn,
        id,
        session -> SessionRecovery.retryDelayElapsed(turn, session),
        call -> Attempts.retryDelayElapsed(turn, call));
  }

  /** Returns the service call if the given attempt is its current one. */
  static Option<ServiceRequest> callWithAttempt(Turn turn, RequestId id, AttemptId attempt) {
    return turn.state()
        .requests()
        .get(id)
        .filter(open -> open instanceof ServiceRequest)
        .map(open -> (ServiceRequest) open)
        .filter(request -> request.current().exists(current -> current.id().equals(attempt)));
  }

  /** Returns the service call if it has not sent an attempt yet. */
  static Option<ServiceRequest> callWithoutAttempts(Turn turn, RequestId id) {
    return turn.state()
        .requests()
        .get(id)
        .filter(open -> open instanceof ServiceRequest)
        .map(open -> (ServiceRequest) open)
        .filter(request -> request.attempts() == 0 && request.current().isEmpty());
  }

  /** Returns the service calls whose current attempt is at an endpoint, ordered by request id. */
  static Vector<ServiceRequest> callsAt(Turn turn, EndpointId endpoint) {
    return turn.state()
        .requests()
        .values()
        .filter(open -> open instanceof ServiceRequest)
        .map(open -> (ServiceRequest) open)
        .filter(call -> call.current().exists(attempt -> attempt.endpoint().equals(endpoint)))
        .toVector()
        .sortBy(call -> call.arrival().request());
  }

  private static void visit(
      Turn turn, RequestId id, Consumer<Session> onModel, Consumer<ServiceRequest> onService) {
    for (OpenRequest open : turn.state().requests().get(id)) {
      if (open instanceof OpenRequest.ModelRequest model) {
        turn.state().sessions().get(model.session()).forEach(onModel);
      } else if (open instanceof ServiceRequest call) {
        onService.accept(call);
      }
    }
  }
}
