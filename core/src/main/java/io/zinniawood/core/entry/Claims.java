package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.model.ClaimRow;
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
  private static final long POLL_NANOS = 500 * NANOS_PER_MILLI;

  private Claims() {}

  /** Asks the table to rule out the present attempt, or to show who holds the key. */
  static void release(Turn turn, ServiceRequest request) {
    Attempts.setPhase(turn, request, AttemptPhase.RELEASING);
    emitRelease(turn, request);
    Attempts.startTimer(turn, request, POLL_NANOS);
  }

  /** Asks the table again; a call that waits for another does so within the budget of writes. */
  static void releaseAgain(Turn turn, ServiceRequest request) {
    if (request.current().get().own() || Exclusions.takePoll(turn)) {
      release(turn, request);
    } else {
      poll(turn, request);
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

  static void resolved(Turn turn, EntryEvent.ClaimResolved event) {
    for (ServiceRequest request :
        OpenRequests.withAttempt(turn, event.request(), event.attempt())) {
      AttemptPhase phase = request.current().get().phase();
      if (phase == AttemptPhase.EXCLUDING) {
        Exclusions.resolved(turn, request, event.resolution());
        continue;
      }
      if (phase != AttemptPhase.RELEASING) {
        continue;
      }
      if (event.resolution() instanceof ClaimResolution.Released released) {
        Attempts.released(
            turn,
            request,
            released.nextFence(),
            Problem.notRunRetry(
                ProblemType.ENDPOINT_FAILED,
                "the endpoint was lost before the call started",
                1_000));
      } else if (event.resolution() instanceof ClaimResolution.Held held) {
        read(turn, request, held.row());
      }
    }
  }

  /** Decides by a row that was read from the table. */
  static void read(Turn turn, ServiceRequest request, ClaimRow row) {
    boolean own = request.current().exists(attempt -> attempt.id().equals(row.attempt()));
    if (!own && !row.requestDigest().equals(RequestDigest.of(request.arrival().call()))) {
      keyReused(turn, request);
    } else {
      held(turn, request, row);
    }
  }

  /** Decides by a row of the same request. */
  static void held(Turn turn, ServiceRequest request, ClaimRow row) {
    switch (row.state()) {
      case FINISHED -> finished(turn, request, row);
      case RELEASED -> releasedRow(turn, request, row);
      case STARTED -> started(turn, request, row);
      default -> throw new IllegalStateException("claim state " + row.state());
    }
  }

  /** Refuses a call whose key belongs to another call; no attempt of it can start. */
  static void keyReused(Turn turn, ServiceRequest request) {
    Answers.failService(
        turn,
        request,
        Problem.notRun(
            ProblemType.KEY_REUSED, "the idempotency key was used with another request"));
  }

  private static void finished(Turn turn, ServiceRequest request, ClaimRow row) {
    if (row.answer().isDefined()) {
      Answers.finishService(turn, request, row.answer().get(), Option.some(row.owner()));
    } else {
      Answers.failService(
          turn,
          request,
          Problem.unknown(
              ProblemType.ENDPOINT_FAILED, "the call finished, but its answer is not kept"));
    }
  }

  /**
   * A higher fence than the attempt's rules the attempt out, and a new one with that fence may
   * claim the key at once; otherwise the attempt may still start.
   */
  private static void releasedRow(Turn turn, ServiceRequest request, ClaimRow row) {
    if (row.fence().compareTo(request.fence()) > 0) {
      Attempts.uncount(turn, request);
      Attempts.dispatchWithFence(turn, request.refenced(row.fence()));
    } else {
      poll(turn, request);
    }
  }

  /**
   * Waits for the attempt that started. An agent that refuses to attach a call to that attempt is
   * asked again only after the poll interval.
   */
  private static void started(Turn turn, ServiceRequest request, ClaimRow row) {
    Option<Member> owner = turn.fleet().member(row.owner());
    boolean own = request.current().exists(attempt -> attempt.id().equals(row.attempt()));
    if (owner.exists(member -> member.replaced(row.incarnation()))) {
      Answers.failService(
          turn,
          own ? request : joined(turn, request, row),
          Problem.unknown(
              ProblemType.ENDPOINT_FAILED,
              "endpoint %s restarted after it had started the call".formatted(row.owner())));
      return;
    }
    boolean refused = own && request.current().get().phase() != AttemptPhase.RELEASING;
    ServiceRequest waiting = own ? request : joined(turn, request, row);
    if (!refused && owner.exists(member -> member.connectedAs(row.incarnation()))) {
      Attempts.setPhase(turn, waiting, AttemptPhase.RUNNING);
      Attempts.send(turn, waiting, waiting.current().get());
    } else {
      owner.forEach(member -> Membership.connectIfIdle(turn, member));
      poll(turn, waiting);
    }
  }

  /** Waits for the attempt that holds the key instead of the request's own, which was refused. */
  private static ServiceRequest joined(Turn turn, ServiceRequest request, ClaimRow row) {
    Attempts.uncount(turn, request);
    ServiceRequest joined = request.withCurrent(Attempt.holder(row));
    OpenRequests.put(turn, request.id(), joined);
    return joined;
  }

  /** Reads the row at once the first time, and after the poll interval when that did not help. */
  static void readLater(Turn turn, ServiceRequest request) {
    if (request.current().get().phase() == AttemptPhase.RUNNING) {
      poll(turn, request);
    } else {
      release(turn, request);
    }
  }

  private static void poll(Turn turn, ServiceRequest request) {
    Attempts.setPhase(turn, request, AttemptPhase.RELEASING);
    Attempts.startTimer(turn, request, POLL_NANOS);
  }

  /** Returns the problem of a call that waits for another call with the same key. */
  static Problem inProgress() {
    return new Problem(
        ProblemType.IN_PROGRESS,
        "a call with the same idempotency key is in progress",
        Outcome.UNKNOWN,
        Option.some(1_000L));
  }
}
