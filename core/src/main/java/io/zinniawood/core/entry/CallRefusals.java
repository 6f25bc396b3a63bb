package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.entry.limits.WriteBudget;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;

/**
 * Refuses calls after their admission. A keyed call is refused with outcome not-run only after the
 * table confirmed a tombstone for the key, as an earlier copy with the same key may have run
 * elsewhere.
 */
final class CallRefusals {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Time before its deadline that a keyed call reserves for a tombstone. */
  static final long TOMBSTONE_RESERVE_NANOS = 300 * NANOS_PER_MILLI;

  /**
   * Longest wait for a tombstone. A refused caller must not wait much longer just for the outcome.
   */
  private static final long TOMBSTONE_TIMEOUT_NANOS = 1_000 * NANOS_PER_MILLI;

  /**
   * Limit of tombstones and polls of this entry. The table sustains a few hundred writes per second
   * for all 1,400 entries, and an overloaded entry refuses up to 64 calls per second.
   */
  private static final int MAX_WRITES_PER_SECOND = 10;

  private static final String EARLIER_COPY_DETAIL =
      "this copy of the call did not run, but an earlier copy with the same idempotency key may"
          + " have run";

  private CallRefusals() {}

  /**
   * Refuses a call none of whose attempts can start. A keyed call gets a tombstone first; if the
   * write budget is used up, it fails with outcome unknown.
   */
  static void refuse(Turn turn, ServiceRequest request, Problem problem) {
    if (!request.usesClaim() || problem.outcome() != Outcome.NOT_RUN) {
      RequestCompletion.failService(turn, request, problem);
      return;
    }
    if (!tryAcquireWrite(turn, MAX_WRITES_PER_SECOND)) {
      failUnconfirmed(turn, request.withRefusal(problem));
      return;
    }
    Attempt attempt =
        new Attempt(
            turn.nextAttemptId(),
            new EndpointId(turn.state().self().vm().value()),
            new Incarnation(0),
            AttemptPhase.REFUSING,
            AttemptOrigin.TOMBSTONE_ONLY,
            false);
    ServiceRequest refused = request.withRefusal(problem).withCurrent(attempt);
    OpenRequests.put(turn, request.id(), refused);
    Claims.emitRelease(turn, refused);
    Attempts.startTimer(turn, refused, tombstoneTimeoutNanos(turn, request));
  }

  /**
   * Returns the time to wait for the tombstone. A call without attempts has already waited for the
   * claim row, and that time counts.
   */
  private static long tombstoneTimeoutNanos(Turn turn, ServiceRequest request) {
    return request.attempts() > 0
        ? TOMBSTONE_TIMEOUT_NANOS
        : Math.max(
            TOMBSTONE_RESERVE_NANOS,
            request.arrivedNanos() + TOMBSTONE_TIMEOUT_NANOS - turn.nowNanos());
  }

  /**
   * Takes a read of the claim row from the write budget, for a call that waits for another. Half of
   * the budget is left for refusals.
   */
  static boolean tryAcquirePoll(Turn turn) {
    return tryAcquireWrite(turn, MAX_WRITES_PER_SECOND / 2);
  }

  private static boolean tryAcquireWrite(Turn turn, int writesPerSecond) {
    WriteBudget budget = turn.state().usage().tombstoneWrites();
    if (!budget.allows(writesPerSecond, turn.nowNanos())) {
      return false;
    }
    turn.update(state -> state.withUsage(state.usage().with(budget.withWrite(turn.nowNanos()))));
    return true;
  }

  /** Answers a refused call according to the table's response. */
  static void tombstoneAnswered(Turn turn, ServiceRequest request, ClaimReleaseResult result) {
    if (result instanceof ClaimReleaseResult.Released) {
      Attempts.releaseSlot(turn, request);
      RequestCompletion.failService(turn, request.withoutCurrent(), request.refusal().get());
    } else if (result instanceof ClaimReleaseResult.Held held) {
      Claims.handleRow(turn, request, held.row());
    } else {
      failUnconfirmed(turn, request);
    }
  }

  /** Fails a call with outcome unknown, as the table did not confirm a tombstone for its key. */
  static void failUnconfirmed(Turn turn, ServiceRequest request) {
    Attempts.releaseSlot(turn, request);
    String cause = request.refusal().map(problem -> problem.detail() + "; ").getOrElse("");
    RequestCompletion.failService(
        turn,
        request.withoutCurrent(),
        new Problem(
            ProblemType.STORE_UNAVAILABLE,
            cause + EARLIER_COPY_DETAIL + ", and the store was not asked or did not answer",
            Outcome.UNKNOWN,
            Option.some(1_000L)));
  }

  /**
   * Adds to the problem of a keyed call that it covers only this copy, as the table did not confirm
   * that no earlier copy ran.
   */
  static Problem limitToThisCopy(EntryEvent.ServiceRequestArrived arrival, Problem problem) {
    return arrival.key().isEmpty()
        ? problem
        : new Problem(
            problem.type(),
            problem.detail() + "; " + EARLIER_COPY_DETAIL,
            problem.outcome(),
            problem.retryAfterMillis());
  }
}
