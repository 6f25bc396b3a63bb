package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.RefusalReason;
import java.util.function.Consumer;

/**
 * Handles refused and cancelled attempts of service calls, and lost or restored connections to
 * their endpoints.
 */
final class AttemptFailures {
  private static final long RETRY_AFTER_MILLIS = 500;

  private AttemptFailures() {}

  /** Handles the refusal of an attempt; ignores attempts that have ended. */
  static void attemptRefused(Turn turn, EndpointId endpoint, Message.DispatchRefused message) {
    for (ServiceRequest request :
        OpenRequests.callWithAttempt(turn, message.request(), message.attempt())) {
      if (message.reason() == RefusalReason.OVERLOADED) {
        EndpointHealthTracker.recordOverload(turn, endpoint);
      } else if (message.reason() == RefusalReason.LEAVING) {
        Membership.markLeaving(turn, endpoint);
      }
      if (message.reason() == RefusalReason.DIGEST_MISMATCH) {
        Claims.failKeyReused(turn, request);
      } else if (message.claim().isDefined() && request.usesClaim()) {
        Claims.handleRowOfSameCall(turn, request, message.claim().get());
      } else if (message.outcome() == Outcome.NOT_RUN && request.current().get().isOwn()) {
        handleNotRun(turn, request, message);
      } else {
        handleMayHaveRun(turn, endpoint, request, message);
      }
    }
  }

  /**
   * Handles a refusal by which the agent confirms that the attempt did not start and never will.
   */
  private static void handleNotRun(
      Turn turn, ServiceRequest request, Message.DispatchRefused message) {
    String detail = "the endpoint refused the call: " + message.reason();
    switch (message.reason()) {
      case STORE_UNAVAILABLE -> {
        Attempts.releaseSlot(turn, request);
        RequestCompletion.failService(
            turn,
            request.afterNotStarted(request.fence()),
            Attempts.withOutcomeOfRequest(
                request.afterNotStarted(request.fence()),
                CallRefusals.limitToThisCopy(
                    request.arrival(),
                    Problem.notRunRetry(
                        ProblemType.STORE_UNAVAILABLE,
                        "the call needs the store, which cannot be reached",
                        1_000))));
      }
      case DEADLINE_EXCEEDED ->
          Attempts.retryNotStarted(
              turn,
              request,
              request.fence(),
              Problem.notRun(ProblemType.DEADLINE_EXCEEDED, detail));
      default ->
          Attempts.retryNotStarted(
              turn,
              request,
              request.fence(),
              Problem.notRunRetry(ProblemType.OVERLOADED, detail, RETRY_AFTER_MILLIS));
    }
  }

  /**
   * Handles a refusal after which the attempt may have run. If the service failed, the outcome
   * stays unknown; if the agent no longer has the result, the claim row may hold the answer.
   */
  private static void handleMayHaveRun(
      Turn turn, EndpointId endpoint, ServiceRequest request, Message.DispatchRefused message) {
    String detail = "the endpoint failed during the call: " + message.reason();
    if (message.reason() == RefusalReason.ENDPOINT_FAILED) {
      EndpointHealthTracker.recordFailure(turn, endpoint);
    }
    if (request.isIdempotent()) {
      Attempts.abandonAndRetry(turn, request, detail);
    } else if (request.usesClaim() && message.reason() != RefusalReason.ENDPOINT_FAILED) {
      Claims.readOrPoll(turn, request);
    } else {
      RequestCompletion.failService(
          turn, request, Problem.unknown(ProblemType.ENDPOINT_FAILED, detail));
    }
  }

  /** Handles the result of a cancel; ignores attempts that have ended. */
  static void cancelAnswered(Turn turn, Message.CancelResult message) {
    for (ServiceRequest request :
        OpenRequests.callWithAttempt(turn, message.request(), message.attempt())) {
      if (!request.current().get().isOwn()) {
        continue;
      }
      if (message.outcome() == CancelOutcome.NOT_STARTED) {
        Attempts.retryNotStarted(
            turn,
            request,
            request.fence(),
            Problem.notRunRetry(
                ProblemType.OVERLOADED, "the call did not start in time", RETRY_AFTER_MILLIS));
      } else {
        Attempts.setPhase(turn, request, AttemptPhase.RUNNING);
        if (message.outcome() == CancelOutcome.FINISHED) {
          Attempts.send(turn, request, request.current().get());
        }
      }
    }
  }

  /** Handles the calls of an endpoint that cannot be reached; its attempts may still run. */
  static void endpointUnreachable(Turn turn, EndpointId endpoint) {
    forEachCallAt(
        turn,
        endpoint,
        "endpoint-unreachable",
        request -> {
          if (request.current().get().phase() != AttemptPhase.RELEASING) {
            Attempts.agentUnreachable(turn, request);
          }
        });
  }

  /** Handles each call whose current attempt is at an endpoint; a failure ends only that call. */
  private static void forEachCallAt(
      Turn turn, EndpointId endpoint, String subject, Consumer<ServiceRequest> handler) {
    for (ServiceRequest request : OpenRequests.callsAt(turn, endpoint)) {
      FailureContainment.run(
          turn, subject, Option.some(request.id()), () -> handler.accept(request));
    }
  }

  /** Handles the calls of an incarnation that ended, and with it the attempts that it ran. */
  static void incarnationEnded(Turn turn, EndpointId endpoint, Incarnation ended) {
    forEachCallAt(
        turn, endpoint, "incarnation-ended", request -> incarnationEnded(turn, request, ended));
  }

  private static void incarnationEnded(Turn turn, ServiceRequest request, Incarnation ended) {
    Attempt attempt = request.current().get();
    if (!attempt.incarnation().equals(ended) || attempt.phase() == AttemptPhase.RELEASING) {
      return;
    }
    if (request.usesClaim() || request.isIdempotent()) {
      Attempts.agentUnreachable(turn, request);
    } else {
      RequestCompletion.failService(
          turn,
          request,
          Problem.unknown(ProblemType.ENDPOINT_FAILED, "the endpoint restarted during the call"));
    }
  }

  /**
   * Sends attempts or their cancels again after the same incarnation reconnected, as messages on
   * the old connection may be lost.
   */
  static void endpointReconnected(Turn turn, EndpointId endpoint, Incarnation incarnation) {
    forEachCallAt(
        turn, endpoint, "endpoint-reconnected", request -> sendAgain(turn, request, incarnation));
  }

  private static void sendAgain(Turn turn, ServiceRequest request, Incarnation incarnation) {
    Attempt attempt = request.current().get();
    if (!attempt.incarnation().equals(incarnation)) {
      return;
    }
    boolean cancelSent =
        attempt.phase() == AttemptPhase.CANCELLING
            || (attempt.phase() == AttemptPhase.RUNNING && !request.isIdempotent());
    if (attempt.isOwn() && cancelSent) {
      Attempts.sendCancel(turn, request, attempt);
    } else if (attempt.phase() != AttemptPhase.RELEASING) {
      Attempts.send(turn, request, attempt);
    }
  }
}
