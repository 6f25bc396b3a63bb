package io.zinniawood.core.relay;

import java.util.OptionalLong;

/**
 * Answer that the relay generates without an endpoint.
 *
 * @param status HTTP status
 * @param reason machine-readable reason
 * @param retryAfterMillis time after which the caller may retry, in milliseconds; empty if the
 *     answer gives none
 */
public record LocalAnswer(int status, String reason, OptionalLong retryAfterMillis) {
  /** Returns a 404: no route matches the request. */
  public static LocalAnswer noRoute() {
    return new LocalAnswer(404, "no-route", OptionalLong.empty());
  }

  /** Returns a 401: the API key is missing or unknown. */
  public static LocalAnswer unknownKey() {
    return new LocalAnswer(401, "unknown-key", OptionalLong.empty());
  }

  /** Returns a 400: the request id is missing or invalid. */
  public static LocalAnswer malformed() {
    return new LocalAnswer(400, "malformed", OptionalLong.empty());
  }

  /** Returns a 503: the request did not run and never will. */
  public static LocalAnswer notRun(String reason, long retryAfterMillis) {
    return new LocalAnswer(503, reason, OptionalLong.of(retryAfterMillis));
  }

  /** Returns a 502: the request may have run. */
  public static LocalAnswer unknownOutcome(String reason) {
    return new LocalAnswer(502, reason, OptionalLong.empty());
  }

  /** Returns a 504: the deadline has passed and the request may have run. */
  public static LocalAnswer timedOut() {
    return new LocalAnswer(504, "timed-out", OptionalLong.empty());
  }
}
