package io.zinniawood.core.entry;

import io.vavr.collection.HashSet;
import io.vavr.control.Option;
import io.zinniawood.core.entry.routing.ChainSelector.SelectedStage;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;

/** Sends and cancels attempts of service calls, and retries calls where that is safe. */
final class Attempts {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Time to wait for the result of a cancel. A live agent answers at once, so a longer wait means
   * that it cannot be reached.
   */
  private static final long CANCEL_TIMEOUT_NANOS = 300 * NANOS_PER_MILLI;

  /** Limits the work for a key that several entries claim and release in turn. */
  private static final int MAX_ATTEMPTS_WITH_NEW_FENCE = 16;

  private Attempts() {}

  /**
   * Sends a new attempt to the best endpoint. If none is available, a request that already had an
   * attempt waits for one until its deadline. A new request is refused at once, so that its caller
   * can try elsewhere.
   */
  static void dispatch(Turn turn, ServiceRequest request) {
    var arrival = request.arrival();
    Option<SelectedStage> target =
        EndpointSelection.selectServiceEndpoint(
                turn, arrival.service(), request.avoid(), arrival.priority())
            .orElse(
                () ->
                    EndpointSelection.selectServiceEndpoint(
                        turn, arrival.service(), HashSet.empty(), arrival.priority()));
    if (target.isEmpty()) {
      if (request.attempts() > 0) {
        scheduleRetry(turn, request);
      } else {
        CallRefusals.refuse(turn, request, noEndpointProblem(turn, request));
      }
      return;
    }
    var member = target.get().stage().member();
    Attempt attempt =
        new Attempt(
            turn.nextAttemptId(),
            member.endpoint(),
            member.connection().incarnation().get(),
            AttemptPhase.SENT,
            AttemptOrigin.OWN,
            true);
    turn.updateMember(
        member.endpoint(),
        known -> known.with(known.workload().acquired(target.get().virtualTime())));
    ServiceRequest sent = request.withAttempt(attempt);
    OpenRequests.put(turn, request.id(), sent);
    send(turn, sent, attempt);
    startTimer(turn, sent, answerTimeoutNanos(turn, sent));
  }

  /** Sends a new attempt with the fence from the claim row. Does not use the retry budget. */
  static void dispatchWithNewFence(Turn turn, ServiceRequest request) {
    if (request.attempts() < MAX_ATTEMPTS_WITH_NEW_FENCE) {
      dispatch(turn, request);
    } else {
      CallRefusals.refuse(
          turn,
          request,
          withOutcomeOfRequest(
              request,
              Problem.notRunRetry(
                  ProblemType.IN_PROGRESS,
                  "attempts with the same idempotency key were released repeatedly",
                  1_000)));
    }
  }

  /**
   * Sends an attempt to its endpoint. The agent runs it at most once, even if it is sent
   * repeatedly.
   */
  static void send(Turn turn, ServiceRequest request, Attempt attempt) {
    var arrival = request.arrival();
    turn.send(
        attempt.endpoint(),
        attempt.incarnation(),
        new Message.Dispatch(
            arrival.request(),
            attempt.id(),
            attempt.incarnation(),
            arrival.clientAccount(),
            arrival.service(),
            arrival.call(),
            arrival.idempotency(),
            arrival.key(),
            request.fence(),
            Math.max(0, arrival.deadlineNanos() - turn.nowNanos()) / NANOS_PER_MILLI,
            Admission.weight(turn, arrival.clientAccount())));
  }

  /** Handles the timeout of an attempt according to its phase. Ignores attempts that have ended. */
  static void attemptTimedOut(Turn turn, RequestId id, AttemptId attemptId) {
    for (ServiceRequest request : OpenRequests.callWithAttempt(turn, id, attemptId)) {
      Attempt attempt = request.current().get();
      switch (attempt.phase()) {
        case SENT -> {
          EndpointHealthTracker.recordFailure(turn, attempt.endpoint());
          answerTimedOut(turn, request, attempt);
        }
        case CANCELLING -> agentUnreachable(turn, request);
        case RELEASING -> Claims.retryRelease(turn, request);
        case REFUSING -> CallRefusals.failUnconfirmed(turn, request);
        default -> {
          if (request.usesClaim()
              && !turn.fleet().connectedAs(attempt.endpoint(), attempt.incarnation())) {
            Claims.release(turn, request);
          }
        }
      }
    }
  }

  private static void answerTimedOut(Turn turn, ServiceRequest request, Attempt attempt) {
    if (request.isIdempotent()) {
      if (acquireRetry(turn, request)) {
        cancelOwn(turn, request);
        releaseSlot(turn, request);
        scheduleRetry(turn, request.afterAbandoned());
      } else {
        setPhase(turn, request, AttemptPhase.RUNNING);
      }
    } else if (!attempt.isOwn()) {
      Claims.release(turn, request);
    } else if (turn.fleet().connectedAs(attempt.endpoint(), attempt.incarnation())) {
      sendCancel(turn, request, attempt);
      setPhase(turn, request, AttemptPhase.CANCELLING);
      startTimer(turn, request, CANCEL_TIMEOUT_NANOS);
    } else {
      agentUnreachable(turn, request);
    }
  }

  /**
   * Handles an attempt whose agent cannot be reached or did not answer the cancel: releases the
   * claim of a keyed call, retries an idempotent call, and otherwise keeps waiting.
   */
  static void agentUnreachable(Turn turn, ServiceRequest request) {
    if (request.usesClaim()) {
      Claims.release(turn, request);
    } else if (request.isIdempotent()) {
      abandonAndRetry(turn, request, "the endpoint of the attempt cannot be reached");
    } else {
      setPhase(turn, request, AttemptPhase.RUNNING);
    }
  }

  /** Abandons an attempt of an idempotent call, although it may run, and retries the call. */
  static void abandonAndRetry(Turn turn, ServiceRequest request, String detail) {
    releaseSlot(turn, request);
    retryOrRefuse(
        turn, request.afterAbandoned(), Problem.unknown(ProblemType.ENDPOINT_FAILED, detail));
  }

  /** Retries a call after confirmation that its current attempt did not start and never will. */
  static void retryNotStarted(Turn turn, ServiceRequest request, Fence nextFence, Problem problem) {
    releaseSlot(turn, request);
    retryOrRefuse(turn, request.afterNotStarted(nextFence), problem);
  }

  /** Retries a call after a tombstone released its claim, or answers with the problem. */
  static void retryReleased(Turn turn, ServiceRequest request, Fence nextFence, Problem problem) {
    releaseSlot(turn, request);
    ServiceRequest ended = request.afterNotStarted(nextFence);
    if (acquireRetry(turn, ended)) {
      scheduleRetry(turn, ended);
    } else {
      RequestCompletion.failService(turn, ended, withOutcomeOfRequest(ended, problem));
    }
  }

  /** Schedules the next attempt, or refuses the call with the problem if no retry is allowed. */
  private static void retryOrRefuse(Turn turn, ServiceRequest request, Problem problem) {
    if (acquireRetry(turn, request)) {
      scheduleRetry(turn, request);
    } else {
      CallRefusals.refuse(turn, request, withOutcomeOfRequest(request, problem));
    }
  }

  private static boolean acquireRetry(Turn turn, ServiceRequest request) {
    return request.attempts() < turn.cluster().retries().maxAttempts()
        && turn.state().lifecycle() != Lifecycle.STOPPED
        && Retries.tryAcquire(turn);
  }

  /**
   * Schedules the next attempt after a backoff delay. Refuses a keyed call if the delay leaves no
   * time before the deadline for a tombstone.
   */
  private static void scheduleRetry(Turn turn, ServiceRequest request) {
    OpenRequests.put(turn, request.id(), request);
    long delayNanos = Retries.delayNanos(turn, request.attempts());
    long remainingNanos = request.arrival().deadlineNanos() - turn.nowNanos();
    if (request.usesClaim() && delayNanos + CallRefusals.TOMBSTONE_RESERVE_NANOS > remainingNanos) {
      CallRefusals.refuse(
          turn,
          request,
          Problem.notRun(
              ProblemType.DEADLINE_EXCEEDED, "the deadline leaves no time for another attempt"));
    } else {
      turn.startTimer(new EntryTimer.RetryDelay(request.id()), delayNanos);
    }
  }

  /** Sends the next attempt after the retry delay, unless one is in flight already. */
  static void retryDelayElapsed(Turn turn, ServiceRequest request) {
    if (request.current().isEmpty()) {
      dispatch(turn, request);
    }
  }

  /** Sends a cancel for the current attempt if it is the request's own. */
  static void cancelOwn(Turn turn, ServiceRequest request) {
    request.current().filter(Attempt::isOwn).forEach(attempt -> sendCancel(turn, request, attempt));
  }

  /**
   * Sends a cancel. If it arrives before the attempt starts, the agent never starts the attempt.
   */
  static void sendCancel(Turn turn, ServiceRequest request, Attempt attempt) {
    turn.send(
        attempt.endpoint(),
        attempt.incarnation(),
        new Message.CancelDispatch(request.id(), attempt.id()));
  }

  /**
   * Stops the timer of the current attempt and removes the attempt from its endpoint's in-flight
   * count.
   */
  static void releaseSlot(Turn turn, ServiceRequest request) {
    for (Attempt attempt : request.current()) {
      turn.cancelTimer(new EntryTimer.AttemptTimeout(request.id(), attempt.id()));
      if (attempt.counted()) {
        turn.updateMember(attempt.endpoint(), member -> member.with(member.workload().released()));
      }
    }
  }

  static void setPhase(Turn turn, ServiceRequest request, AttemptPhase phase) {
    OpenRequests.put(
        turn, request.id(), request.withCurrent(request.current().get().withPhase(phase)));
  }

  /** Starts or restarts the timer of the request's current attempt. */
  static void startTimer(Turn turn, ServiceRequest request, long delayNanos) {
    turn.startTimer(
        new EntryTimer.AttemptTimeout(request.id(), request.current().get().id()), delayNanos);
  }

  /** Returns the problem, with outcome unknown if any attempt of the request may have started. */
  static Problem withOutcomeOfRequest(ServiceRequest request, Problem problem) {
    return request.mayHaveStarted() ? Problem.unknown(problem.type(), problem.detail()) : problem;
  }

  /**
   * Returns the time to wait for an answer, which leaves time before the deadline to find out
   * whether the attempt started.
   */
  private static long answerTimeoutNanos(Turn turn, ServiceRequest request) {
    long remainingNanos = request.arrival().deadlineNanos() - turn.nowNanos();
    return Math.min(
        turn.cluster().retries().attemptTimeoutMillis() * NANOS_PER_MILLI,
        Math.max(remainingNanos / 2, remainingNanos - 2 * CANCEL_TIMEOUT_NANOS));
  }

  private static Problem noEndpointProblem(Turn turn, ServiceRequest request) {
    var service = request.arrival().service();
    Problem problem =
        EndpointSelection.isServed(turn, service)
            ? Problem.notRunRetry(
                ProblemType.OVERLOADED,
                "every endpoint of service %s is at its limit".formatted(service),
                200)
            : Problem.notRunRetry(
                ProblemType.NO_ENDPOINT, "no endpoint serves service %s".formatted(service), 500);
    return withOutcomeOfRequest(request, problem);
  }
}
