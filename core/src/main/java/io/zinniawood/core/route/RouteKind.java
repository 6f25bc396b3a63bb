package io.zinniawood.core.route;

/** What may be repeated of a request. */
public enum RouteKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once for each attempt of the caller. */
  NON_IDEMPOTENT,
  /** Answers with a series of events. */
  STREAMING
}
