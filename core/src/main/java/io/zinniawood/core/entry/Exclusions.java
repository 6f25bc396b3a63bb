package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.entry.limits.WriteBudget;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;

/**
 * Refuses calls after their admission. A keyed call is refused with outcome not-run only after a
 * tombstone has ruled its key out, as an earlier copy with the same key may have run elsewhere.
 */
final class Exclusions {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Time that a keyed call keeps before its deadline to rule its key out. */
  static final long RESERVE_NANOS = 300 * NANOS_PER_MILLI;

  /** A caller that is refused shall not wait much longer for the outcome alone. */
  private static final long ANSWER_NANOS = 1_000 * NANOS_PER_MILLI;

  /**
   * The table takes a few hundred writes each second for all 1,400 entries, and an overloaded entry
   * refuses up to 64 calls each second.
   */
  private static final int WRITES_PER_SECOND = 10;

  private static final String EARLIER_COPY =
      "this copy of the call did not run, but an earlier copy with the same idempotency key may"
          + " have run";

  private Exclusions() {}

  /** Ends a call none of whose attempts can start, after ruling out its key if it has one. */
  static void refuse(Turn turn, ServiceRequest request, Problem problem) {
    if (!request.claimed() || problem.outcome() != Outcome.NOT_RUN) {
      Answers.failService(turn, request, problem);
      return;
    }
    if (!take(turn, WRITES_PER_SECOND)) {
      unconfirmed(turn, request.refused(problem));
      return;
    }
    Attempt attempt =
        new Attempt(
            turn.nextAttemptId(),
            new EndpointId(turn.state().self().vm().value()),
            new Incarnation(0),
            AttemptPhase.EXCLUDING,
            AttemptOrigin.NONE,
            false);
    ServiceRequest excluding = request.refused(problem).withCurrent(attempt);
    OpenRequests.put(turn, request.id(), excluding);
    Claims.emitRelease(turn, excluding);
    Attempts.startTimer(turn, excluding, answerNanos(turn, request));
  }

  /** A call that was never sent has waited for the row on its arrival already. */
  private static long answerNanos(Turn turn, ServiceRequest request) {
    return request.attempts() > 0
        ? ANSWER_NANOS
        : Math.max(RESERVE_NANOS, request.arrivedNanos() + ANSWER_NANOS - turn.nowNanos());
  }

  /** Takes a read of the row for a call that waits for another; half the budget is for refusals. */
  static boolean takePoll(Turn turn) {
    return take(turn, WRITES_PER_SECOND / 2);
  }

  private static boolean take(Turn turn, int writesPerSecond) {
    WriteBudget budget = turn.state().usage().exclusions();
    if (!budget.allows(writesPerSecond, turn.nowNanos())) {
      return false;
    }
    turn.update(state -> state.withUsage(state.usage().with(budget.withWrite(turn.nowNanos()))));
    return true;
  }

  /** Answers from what the table says about the key. */
  static void resolved(Turn turn, ServiceRequest request, ClaimResolution resolution) {
    if (resolution instanceof ClaimResolution.Released) {
      Attempts.uncount(turn, request);
      Answers.failService(turn, request.withoutCurrent(), request.refusal().get());
    } else if (resolution instanceof ClaimResolution.Held held) {
      Claims.read(turn, request, held.row());
    } else {
      unconfirmed(turn, request);
    }
  }

  /** Ends a refused call whose key could not be ruled out. */
  static void unconfirmed(Turn turn, ServiceRequest request) {
    Attempts.uncount(turn, request);
    String cause = request.refusal().map(problem -> problem.detail() + "; ").getOrElse("");
    Answers.failService(
        turn,
        request.withoutCurrent(),
        new Problem(
            ProblemType.STORE_UNAVAILABLE,
            cause + EARLIER_COPY + ", and the store was not asked or did not answer",
            Outcome.UNKNOWN,
            Option.some(1_000L)));
  }

  /** Limits a problem that the table did not confirm to the present copy of a keyed call. */
  static Problem ofThisCopy(EntryEvent.ServiceRequestArrived arrival, Problem problem) {
    return arrival.key().isEmpty()
        ? problem
        : new Problem(
            problem.type(),
            problem.detail() + "; " + EARLIER_COPY,
            problem.outcome(),
            problem.retryAfterMillis());
  }
}
