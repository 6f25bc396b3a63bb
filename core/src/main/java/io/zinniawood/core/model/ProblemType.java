package io.zinniawood.core.model;

/** Stable types of the problem documents that callers receive (RFC 9457). */
public enum ProblemType {
  /** The request is malformed. */
  BAD_REQUEST("bad-request", 400),
  /** The key is missing or unknown. */
  UNAUTHENTICATED("unauthenticated", 401),
  /** The client account may not use the model or service. */
  FORBIDDEN("forbidden", 403),
  /** The model or service does not exist. */
  NOT_FOUND("not-found", 404),
  /** The body or a header is too large. */
  TOO_LARGE("too-large", 413),
  /** The idempotency key was used with another request. */
  KEY_REUSED("idempotency-key-reused", 422),
  /** The call with this idempotency key is still in progress. */
  IN_PROGRESS("in-progress", 409),
  /** The client account reached its rate or concurrency limit. */
  ACCOUNT_LIMIT("account-limit", 429),
  /** The system has no capacity for the request before its deadline. */
  OVERLOADED("overloaded", 503),
  /** No endpoint serves the model or service at present. */
  NO_ENDPOINT("no-endpoint", 503),
  /** The platform's store is needed and cannot be reached. */
  STORE_UNAVAILABLE("store-unavailable", 503),
  /** The entry is draining or has no configuration yet. */
  NOT_READY("not-ready", 503),
  /** The deadline passed. */
  DEADLINE_EXCEEDED("deadline-exceeded", 504),
  /** The endpoint failed. */
  ENDPOINT_FAILED("endpoint-failed", 502),
  /** The system failed in a way that no other type covers. */
  INTERNAL("internal", 500);

  private final String slug;
  private final int httpStatus;

  ProblemType(String slug, int httpStatus) {
    this.slug = slug;
    this.httpStatus = httpStatus;
  }

  /** Returns the last part of the problem's type URI. */
  public String slug() {
    return slug;
  }

  /** Returns the HTTP status of the response. */
  public int httpStatus() {
    return httpStatus;
  }
}
