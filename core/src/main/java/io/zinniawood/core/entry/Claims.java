package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.RequestDigest;

/** Handles calls with an idempotency key according to the claim row of the key. */
final class Claims {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Interval at which the row is read again while another call holds it or the table does not
   * answer. Each read is a conditional create, of which the table sustains a few hundred per
   * second.
   */
  private static final long POLL_INTERVAL_NANOS = 500 * NANOS_PER_MILLI;

  /**
   * Longest wait for the claim row when a call arrives. An available table answers within
   * milliseconds.
   */
  private static final long ARRIVAL_READ_TIMEOUT_NANOS = 500 * NANOS_PER_MILLI;

  private Claims() {}

  /**
   * Starts a call. A keyed call first reads the claim row: it may use the fence of a release from
   * before its arrival, but after a later release by another copy of the call it must not run.
   */
  static void start(Turn turn, ServiceRequest request) {
    if (!request.usesClaim()) {
      Attempts.dispatch(turn, request);
      return;
    }
    turn.emit(new EntryEffect.ReadClaim(request.id(), request.claimKey()));
    turn.startTimer(new EntryTimer.RetryDelay(request.id()), ARRIVAL_READ_TIMEOUT_NANOS);
  }

  /**
   * Sends the first attempt of a keyed call, or answers it from the claim row. Without a row, or if
   * the table cannot be reached, the attempt uses the initial fence.
   */
  static void claimRead(Turn turn, EntryEvent.ClaimRead event) {
    for (ServiceRequest request : OpenRequests.callWithoutAttempts(turn, event.request())) {
      turn.cancelTimer(new EntryTimer.RetryDelay(request.id()));
      Option<ClaimRow> row =
          event.reading() instanceof ClaimReadResult.Answered answered
              ? answered.row()
              : Option.none();
      if (row.isEmpty()) {
        Attempts.dispatch(turn, request);
      } else if (!isSameCall(request, row.get())) {
        failKeyReused(turn, request);
      } else if (row.get().state() == ClaimState.RELEASED) {
        Attempts.dispatch(turn, request.withFence(row.get().fence()));
      } else {
        handleRowOfSameCall(turn, request, row.get());
      }
    }
  }

  private static boolean isSameCall(ServiceRequest request, ClaimRow row) {
    return row.requestDigest().equals(RequestDigest.of(request.arrival().call()));
  }

  /**
   * Asks the table for a tombstone against the current attempt, or for the row if another state
   * holds it.
   */
  static void release(Turn turn, ServiceRequest request) {
    Attempts.setPhase(turn, request, AttemptPhase.RELEASING);
    emitRelease(turn, request);
    Attempts.startTimer(turn, request, POLL_INTERVAL_NANOS);
  }

  /**
   * Asks the table again. A call that waits for another call's attempt does so only within the
   * write budget.
   */
  static void retryRelease(Turn turn, ServiceRequest request) {
    if (request.current().get().isOwn() || CallRefusals.tryAcquirePoll(turn)) {
      release(turn, request);
    } else {
      pollLater(turn, request);
    }
  }

  /** Emits the request for a tombstone against the current attempt. */
  static void emitRelease(Turn turn, ServiceRequest request) {
    turn.emit(
        new EntryEffect.ReleaseClaim(
            request.id(),
            request.current().get().id(),
            request.claimKey(),
            RequestDigest.of(request.arrival().call())));
  }

  static void releaseAnswered(Turn turn, EntryEvent.ClaimReleaseCompleted event) {
    for (ServiceRequest request :
        OpenRequests.callWithAttempt(turn, event.request(), event.attempt())) {
      AttemptPhase phase = request.current().get().phase();
      if (phase == AttemptPhase.REFUSING) {
        CallRefusals.tombstoneAnswered(turn, request, event.resolution());
        continue;
      }
      if (phase != AttemptPhase.RELEASING) {
        continue;
      }
      if (event.resolution() instanceof ClaimReleaseResult.Released released) {
        claimReleased(turn, request, released.nextFence());
      } else if (event.resolution() instanceof ClaimReleaseResult.Held held) {
        handleRow(turn, request, held.row());
      }
    }
  }

  /**
   * Retries a call after the release of its own attempt. Each release raises the fence by one, so a
   * larger step shows that another copy of the call was released in between; the tombstone then
   * covers both copies, and this call fails without a retry.
   */
  private static void claimReleased(Turn turn, ServiceRequest request, Fence nextFence) {
    boolean ownOnly =
        request.current().exists(Attempt::isOwn)
            && nextFence.value() == request.fence().value() + 1;
    if (ownOnly) {
      Attempts.retryReleased(
          turn,
          request,
          nextFence,
          Problem.notRunRetry(
              ProblemType.ENDPOINT_FAILED, "the endpoint was lost before the call started", 1_000));
    } else {
      Attempts.releaseSlot(turn, request);
      ServiceRequest ended = request.afterNotStarted(nextFence);
      RequestCompletion.failService(
          turn, ended, Attempts.withOutcomeOfRequest(ended, otherCopyReleasedProblem()));
    }
  }

  /** Handles a claim row from the table, which may belong to another request. */
  static void handleRow(Turn turn, ServiceRequest request, ClaimRow row) {
    boolean own = request.current().exists(attempt -> attempt.id().equals(row.attempt()));
    if (!own && !isSameCall(request, row)) {
      failKeyReused(turn, request);
    } else {
      handleRowOfSameCall(turn, request, row);
    }
  }

  /** Handles a claim row of the same call. */
  static void handleRowOfSameCall(Turn turn, ServiceRequest request, ClaimRow row) {
    switch (row.state()) {
      case FINISHED -> completeFromRow(turn, request, row);
      case RELEASED -> handleReleasedRow(turn, request, row);
      case STARTED -> handleStartedRow(turn, request, row);
      default -> throw new IllegalStateException("claim state " + row.state());
    }
  }

  /** Fails a call whose key was used for a different request. No attempt of it can start. */
  static void failKeyReused(Turn turn, ServiceRequest request) {
    RequestCompletion.failService(
        turn,
        request,
        Problem.notRun(
            ProblemType.KEY_REUSED, "the idempotency key was used with another request"));
  }

  private static void completeFromRow(Turn turn, ServiceRequest request, ClaimRow row) {
    if (row.answer().isDefined()) {
      RequestCompletion.finishService(turn, request, row.answer().get(), Option.some(row.owner()));
    } else {
      RequestCompletion.failService(
          turn,
          request,
          Problem.unknown(
              ProblemType.ENDPOINT_FAILED, "the call finished, but its answer is not stored"));
    }
  }

  /**
   * Handles a released claim row. A higher fence than the request's means that its attempt can no
   * longer start. If the released attempt belongs to this request, a new attempt with the row's
   * fence may claim the key at once. If it belongs to another copy of the call, that copy's caller
   * may have been told that the call did not run, so this copy must not run either.
   */
  private static void handleReleasedRow(Turn turn, ServiceRequest request, ClaimRow row) {
    if (row.fence().compareTo(request.fence()) > 0) {
      Attempts.releaseSlot(turn, request);
      if (request.hasTried(row.attempt())) {
        Attempts.dispatchWithNewFence(turn, request.withFence(row.fence()));
      } else {
        CallRefusals.refuse(turn, request.withFence(row.fence()), otherCopyReleasedProblem());
      }
    } else {
      pollLater(turn, request);
    }
  }

  /**
   * Waits for the answer of the attempt that holds the claim. An agent that refused to attach this
   * call to that attempt is asked again only after the poll interval.
   */
  private static void handleStartedRow(Turn turn, ServiceRequest request, ClaimRow row) {
    Option<Member> owner = turn.fleet().member(row.owner());
    boolean own = request.current().exists(attempt -> attempt.id().equals(row.attempt()));
    if (owner.exists(member -> member.restartedSince(row.incarnation()))) {
      RequestCompletion.failService(
          turn,
          own ? request : joinHolder(turn, request, row),
          Problem.unknown(
              ProblemType.ENDPOINT_FAILED,
              "endpoint %s restarted after it had started the call".formatted(row.owner())));
      return;
    }
    boolean refused = own && request.current().get().phase() != AttemptPhase.RELEASING;
    ServiceRequest waiting = own ? request : joinHolder(turn, request, row);
    if (!refused && owner.exists(member -> member.connectedAs(row.incarnation()))) {
      Attempts.setPhase(turn, waiting, AttemptPhase.RUNNING);
      Attempts.send(turn, waiting, waiting.current().get());
    } else {
      owner.forEach(member -> Membership.connectIfIdle(turn, member));
      pollLater(turn, waiting);
    }
  }

  /**
   * Makes the request wait for the attempt that holds the claim instead of its own attempt, which
   * was refused.
   */
  private static ServiceRequest joinHolder(Turn turn, ServiceRequest request, ClaimRow row) {
    Attempts.releaseSlot(turn, request);
    ServiceRequest joined = request.withCurrent(Attempt.ofClaimHolder(row));
    OpenRequests.put(turn, request.id(), joined);
    return joined;
  }

  /**
   * Reads the claim row at once. In phase RUNNING, which may follow from an earlier read, waits for
   * the poll interval first.
   */
  static void readOrPoll(Turn turn, ServiceRequest request) {
    if (request.current().get().phase() == AttemptPhase.RUNNING) {
      pollLater(turn, request);
    } else {
      release(turn, request);
    }
  }

  private static void pollLater(Turn turn, ServiceRequest request) {
    Attempts.setPhase(turn, request, AttemptPhase.RELEASING);
    Attempts.startTimer(turn, request, POLL_INTERVAL_NANOS);
  }

  private static Problem otherCopyReleasedProblem() {
    return Problem.notRunRetry(
        ProblemType.IN_PROGRESS, "another copy of the call was released before it ran", 1_000);
  }

  /** Returns the problem of a call that waits for another call with the same key. */
  static Problem inProgressProblem() {
    return new Problem(
        ProblemType.IN_PROGRESS,
        "a call with the same idempotency key is in progress",
        Outcome.UNKNOWN,
        Option.some(1_000L));
  }
}
