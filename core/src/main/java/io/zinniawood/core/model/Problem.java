package io.zinniawood.core.model;

import io.vavr.control.Option;

/**
 * Refusal or failure that is returned to a caller.
 *
 * @param type type, which stays the same between versions
 * @param detail human-readable explanation
 * @param outcome whether the request ran
 * @param retryAfterMillis time after which a retry may help, in milliseconds
 */
public record Problem(
    ProblemType type, String detail, Outcome outcome, Option<Long> retryAfterMillis) {
  /** Returns a problem of a request that did not run and for which waiting does not help. */
  public static Problem notRun(ProblemType type, String detail) {
    return new Problem(type, detail, Outcome.NOT_RUN, Option.none());
  }

  /** Returns a problem of a request that did not run and may be sent again after a wait. */
  public static Problem notRunRetry(ProblemType type, String detail, long retryAfterMillis) {
    return new Problem(type, detail, Outcome.NOT_RUN, Option.some(retryAfterMillis));
  }

  /** Returns a problem of a request that may have run. */
  public static Problem unknown(ProblemType type, String detail) {
    return new Problem(type, detail, Outcome.UNKNOWN, Option.none());
  }
}
