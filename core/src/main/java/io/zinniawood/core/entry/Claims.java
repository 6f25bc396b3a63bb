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

/** Decides about calls with an idempotency key from the claim row of the key. */
final class Claims {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Interval at which the row is read again while another call holds it or the table does not
   * answer. Each read is a conditional create, of which the table takes a few hundred per second.
   */
  private static final long POLL_INTERVAL_NANOS = 500 * NANOS_PER_MILLI;

  /** Longest wait for the row on arrival; a table that answers at all does so in milliseconds. */
  private static final long ARRIVAL_READ_TIMEOUT_NANOS = 500 * NANOS_PER_MILLI;

  private Claims() {}

  /**
   * Starts a call. A keyed call first reads the row: it may use the fence of a release that came
   * before its arrival, but a later release by another copy of the call rules it out.
   */
  static void start(Turn turn, ServiceRequest request) {
    if (!request.usesClaim()) {
      Attempts.dispatch(turn, request);
      return;
    }
    turn.emit(new EntryEffect.ReadClaim(request.id(), request.claimKey()));
    turn.startTimer(new EntryTimer.RetryDelay(request.id()), ARRIVAL_READ_TIMEOUT_NANOS);
  }

  /** Sends the first attempt of a keyed call, or answers it from the row. */
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

  /** Asks the table to rule out the present attempt, or to show who holds the key. */
  static void release(Turn turn, ServiceRequest request) {
    Attempts.setPhase(turn, request, AttemptPhase.RELEASING);
    emitRelease(turn, request);
    Attempts.startTimer(turn, request, POLL_INTERVAL_NANOS);
  }

  /** Asks the table again; a call that waits for another does so within the budget of writes. */
  static void retryRelease(Turn turn, ServiceRequest request) {
    if (request.current().get().isOwn() || CallRefusals.tryAcquirePoll(turn)) {
      release(turn, request);
    } else {
      pollLater(turn, request);
    }
  }

  /** Asks the table for a tombstone against the request's present attempt. */
  static void emitRelease(Turn turn, ServiceRequest request) {
    turn.emit(
        new EntryEffect.ReleaseClaim(
            request.id(),
            request.current().get().id(),
            request.claimKey(),
            RequestDigest.of(request.arrival().call())));
  }

  static void releaseAnswered(Turn turn, EntryEvent.ClaimResolved event) {
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
   * Tries again after the release of an attempt of this call. Each release raises the fence by one,
   * so a higher fence shows that another copy was released in between; the tombstone rules out
   * both.
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

  /** Decides by a row that was read from the table. */
  static void handleRow(Turn turn, ServiceRequest request, ClaimRow row) {
    boolean own = request.current().exists(attempt -> attempt.id().equals(row.attempt()));
    if (!own && !isSameCall(request, row)) {
      failKeyReused(turn, request);
    } else {
      handleRowOfSameCall(turn, request, row);
    }
  }

  /** Decides by a row of the same request. */
  static void handleRowOfSameCall(Turn turn, ServiceRequest request, ClaimRow row) {
    switch (row.state()) {
      case FINISHED -> completeFromRow(turn, request, row);
      case RELEASED -> handleReleasedRow(turn, request, row);
      case STARTED -> handleStartedRow(turn, request, row);
      default -> throw new IllegalStateException("claim state " + row.state());
    }
  }

  /** Refuses a call whose key belongs to another call; no attempt of it can start. */
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
              ProblemType.ENDPOINT_FAILED, "the call finished, but its answer is not kept"));
    }
  }

  /**
   * A higher fence than the attempt's rules the attempt out. If an attempt of this call was
   * released, a new one with that fence may claim the key at once. If another copy of the call was,
   * its caller may have been told that the key did not run, so this copy is ruled out as well.
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
   * Waits for the attempt that started. An agent that refuses to attach a call to that attempt is
   * asked again only after the poll interval.
   */
  private static void handleStartedRow(Turn turn, ServiceRequest request, ClaimRow row) {
    Option<Member> owner = turn.fleet().member(row.owner());
    boolean own = request.current().exists(attempt -> attempt.id().equals(row.attempt()));
    if (owner.exists(member -> member.replaced(row.incarnation()))) {
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

  /** Waits for the attempt that holds the key instead of the request's own, which was refused. */
  private static ServiceRequest joinHolder(Turn turn, ServiceRequest request, ClaimRow row) {
    Attempts.releaseSlot(turn, request);
    ServiceRequest joined = request.withCurrent(Attempt.ofClaimHolder(row));
    OpenRequests.put(turn, request.id(), joined);
    return joined;
  }

  /** Reads the row at once the first time, and after the poll interval when that did not help. */
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
