package io.zinniawood.core.agent;

import io.vavr.Tuple2;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServiceAnswer;

/**
 * Results of attempts that ended, bounded in number and bytes. They include cancelled and refused
 * attempts, so that a late copy of such an attempt does not run.
 *
 * @param results results, oldest first
 * @param bytes total size of the answers in bytes
 * @param evicted attempts whose results were evicted
 */
record FinishedAttempts(Map<AttemptId, Result> results, long bytes, EvictedAttempts evicted) {
  private static final int MAX_RESULTS = 2_048;
  private static final long MAX_BYTES = 4L << 20;

  /** Result of an ended attempt. */
  sealed interface Result {
    /**
     * The service answered.
     *
     * @param answer answer of the service
     */
    record Answered(ServiceAnswer answer) implements Result {}

    /**
     * The attempt was refused, cancelled or failed.
     *
     * @param reason why the attempt did not succeed
     * @param outcome whether the attempt ran
     * @param claim claim row that prevented the call
     */
    record Refused(RefusalReason reason, Outcome outcome, Option<ClaimRow> claim)
        implements Result {}
  }

  static FinishedAttempts empty() {
    return new FinishedAttempts(LinkedHashMap.empty(), 0, EvictedAttempts.empty());
  }

  Option<Result> get(AttemptId attempt) {
    return results.get(attempt);
  }

  /** Returns whether the attempt is recorded as ended without a call of the service. */
  boolean didNotRun(AttemptId attempt) {
    return results
        .get(attempt)
        .exists(
            result ->
                result instanceof Result.Refused refused && refused.outcome() == Outcome.NOT_RUN);
  }

  FinishedAttempts add(AttemptId attempt, Result result, long nowNanos) {
    long size = sizeBytes(result) - results.get(attempt).map(r -> sizeBytes(r)).getOrElse(0L);
    FinishedAttempts next =
        new FinishedAttempts(results.put(attempt, result), bytes + size, evicted);
    while (next.results.size() > MAX_RESULTS
        || (next.bytes > MAX_BYTES && next.results.size() > 1)) {
      Tuple2<AttemptId, Result> oldest = next.results.head();
      next =
          new FinishedAttempts(
              next.results.remove(oldest._1),
              next.bytes - sizeBytes(oldest._2),
              next.evicted.add(oldest._1, nowNanos));
    }
    return next;
  }

  private static long sizeBytes(Result result) {
    if (result instanceof Result.Answered answered) {
      return answered.answer().body().sizeBytes();
    }
    return ((Result.Refused) result)
        .claim()
        .flatMap(ClaimRow::answer)
        .map(answer -> (long) answer.body().sizeBytes())
        .getOrElse(0L);
  }
}
